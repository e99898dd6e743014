package experiment

import (
	"slices"
	"time"
)

// Outcome is what callers received in one run, and what it cost.
type Outcome struct {
	records  []*record
	resumes  []time.Duration
	poisoned int     // refused as poison
	useful   float64 // cost of work that an unbroken run needs
	extra    float64 // cost of work beyond it
}

// record is the account of one request over all its tries.
type record struct {
	workspace string
	class     string
	asked     time.Duration // since the start
	tokens    int
	ending    ending
	wait      time.Duration // to the first token, from the first try
	tries     int
	early     []time.Duration // from a try to its refusal
}

type ending int

const (
	unfinished ending = iota // when the run ended
	served                   // the whole answer, to a caller who had not given up
	gaveUp                   // lost patience without any answer
	refusedLast
)

// work counts what an engine computes: of first attempts as useful, of later
// ones as extra until a new token comes of it.
func (o *Outcome) work(a *attempt, cost float64) {
	if a.extra {
		o.extra += cost
	} else {
		o.useful += cost
	}
}

// redeem counts cost as useful that was taken for extra work.
func (o *Outcome) redeem(cost float64) {
	o.useful += cost
	o.extra -= cost
}

// Filter chooses requests; empty fields choose all. From and To bound when the
// caller first asked.
type Filter struct {
	Workspace string
	Class     string
	From, To  time.Duration
}

func (f *Filter) takes(r *record) bool {
	switch {
	case f.Workspace != "" && f.Workspace != r.workspace, f.Class != "" && f.Class != r.class:
		return false
	case r.asked < f.From, f.To > 0 && r.asked >= f.To:
		return false
	}
	return true
}

// Total is the account of a group of requests.
type Total struct {
	Offered          int // requests, whatever the number of tries
	Served           int
	GaveUp           int
	Refused          int // callers whose last answer was a refusal
	Tries            int
	Refusals         int             // of single tries
	Tokens           int             // of answers served
	Waits            []time.Duration // of those served, sorted
	RefusalLatencies []time.Duration // from a try to its refusal, sorted
}

// Total adds up the requests that f chooses.
func (o *Outcome) Total(f Filter) Total {
	var sum Total
	for _, r := range o.records {
		if !f.takes(r) {
			continue
		}
		sum.Offered++
		sum.Tries += r.tries
		sum.Refusals += len(r.early)
		sum.RefusalLatencies = append(sum.RefusalLatencies, r.early...)
		switch r.ending {
		case served:
			sum.Served++
			sum.Tokens += r.tokens
			sum.Waits = append(sum.Waits, r.wait)
		case gaveUp:
			sum.GaveUp++
		case refusedLast:
			sum.Refused++
		case unfinished:
		}
	}
	slices.Sort(sum.Waits)
	slices.Sort(sum.RefusalLatencies)
	return sum
}

// ServedShare is the part of the callers who got their whole answer.
func (t *Total) ServedShare() float64 {
	if t.Offered == 0 {
		return 0
	}
	return float64(t.Served) / float64(t.Offered)
}

// Quantile of sorted values; 0 without any.
func Quantile(sorted []time.Duration, q float64) time.Duration {
	if len(sorted) == 0 {
		return 0
	}
	return sorted[min(len(sorted)-1, int(q*float64(len(sorted))))]
}

// ExtraShare is the work beyond an unbroken run over that of one.
func (o *Outcome) ExtraShare() float64 {
	if o.useful == 0 {
		return 0
	}
	return o.extra / o.useful
}

// Fairness is Jain's index over the workspaces' served shares: 1 when all fare
// alike.
func (o *Outcome) Fairness(f Filter) float64 {
	names := o.Workspaces()
	var sum, squares float64
	for _, name := range names {
		f.Workspace = name
		t := o.Total(f)
		sum += t.ServedShare()
		squares += t.ServedShare() * t.ServedShare()
	}
	if squares == 0 {
		return 0
	}
	return sum * sum / (float64(len(names)) * squares)
}

// Workspaces lists the names in order.
func (o *Outcome) Workspaces() []string {
	var names []string
	for _, r := range o.records {
		if !slices.Contains(names, r.workspace) {
			names = append(names, r.workspace)
		}
	}
	slices.Sort(names)
	return names
}
