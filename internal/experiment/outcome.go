package experiment

import (
	"slices"
	"time"
)

// Outcome holds what callers received in one run, and the work that it cost.
type Outcome struct {
	records         []*record
	resumeLatencies []time.Duration
	refusedAsPoison int
	usefulWork      float64 // cost of the work that runs without an interruption need
	extraWork       float64 // cost of the work beyond it
}

// record holds the result of one request over all its tries.
type record struct {
	workspace        string
	class            string
	submittedAt      time.Duration // since the start of the run
	tokens           int
	ending           ending
	firstTokenWait   time.Duration // from the first try
	tries            int
	refusalLatencies []time.Duration // one per refused try
}

type ending int

const (
	unfinished  ending = iota // at the end of the run
	served                    // complete answer, to a caller that had not given up
	gaveUp                    // the maximum wait passed without any answer
	refusedLast               // the last try was refused
)

// countWork counts the cost of what an engine computes. First attempts count as useful
// work. Later ones count as extra work until countAsUseful moves it.
func (o *Outcome) countWork(a *attempt, cost float64) {
	if a.extra {
		o.extraWork += cost
	} else {
		o.usefulWork += cost
	}
}

// countAsUseful moves cost from extra work to useful work. Later attempts call it for
// each token that the caller did not have yet.
func (o *Outcome) countAsUseful(cost float64) {
	o.usefulWork += cost
	o.extraWork -= cost
}

// Filter selects requests. Empty fields select all. From and To bound the time of the
// first try, since the start of the run.
type Filter struct {
	Workspace string
	Class     string
	From, To  time.Duration
}

func (f *Filter) matches(r *record) bool {
	switch {
	case f.Workspace != "" && f.Workspace != r.workspace, f.Class != "" && f.Class != r.class:
		return false
	case r.submittedAt < f.From, f.To > 0 && r.submittedAt >= f.To:
		return false
	}
	return true
}

// Total holds the results of a group of requests.
type Total struct {
	Offered          int // requests, each counted once over all its tries
	Served           int
	GaveUp           int
	Refused          int // requests whose last try was refused
	Tries            int
	Refusals         int             // refused tries
	Tokens           int             // of complete answers
	Waits            []time.Duration // for the first token, of the requests served, sorted
	RefusalLatencies []time.Duration // of refused tries, sorted
}

// Total sums up the requests that f selects.
func (o *Outcome) Total(f Filter) Total {
	var sum Total
	for _, r := range o.records {
		if !f.matches(r) {
			continue
		}
		sum.Offered++
		sum.Tries += r.tries
		sum.Refusals += len(r.refusalLatencies)
		sum.RefusalLatencies = append(sum.RefusalLatencies, r.refusalLatencies...)
		switch r.ending {
		case served:
			sum.Served++
			sum.Tokens += r.tokens
			sum.Waits = append(sum.Waits, r.firstTokenWait)
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

// ServedShare returns the share of requests that got a complete answer.
func (t *Total) ServedShare() float64 {
	if t.Offered == 0 {
		return 0
	}
	return float64(t.Served) / float64(t.Offered)
}

// Quantile returns the q quantile of sorted values, or 0 if there are none.
func Quantile(sorted []time.Duration, q float64) time.Duration {
	if len(sorted) == 0 {
		return 0
	}
	return sorted[min(len(sorted)-1, int(q*float64(len(sorted))))]
}

// ExtraShare returns the extra work relative to the useful work.
func (o *Outcome) ExtraShare() float64 {
	if o.usefulWork == 0 {
		return 0
	}
	return o.extraWork / o.usefulWork
}

// Fairness returns Jain's index over the workspaces' served shares. It is 1 if all
// workspaces have the same share.
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

// Workspaces returns the names of all workspaces, sorted.
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
