package rollout

import (
	"cmp"
	"fmt"
	"maps"
	"math"
	"slices"
	"time"
)

// When a roll-out goes on, is completed or reverted.
//
// The load pattern. A new version fails a part of its requests, or answers several times
// slower, from its start or later, on all routes or on one, or only once it has the whole
// load. With fixed steps of the share, each step watched for a while, a version that goes
// bad late meets it with half of all requests; a version that is never given much shows a
// fault under load only when the old servers are gone.
//
// So the share is bounded by what may still reach the version if it went bad at this
// moment. For most of the time it gets a small share, more of the routes that have few
// requests, so that each route has answers to judge by. As late as the order's duration
// allows, and for no longer than the bound allows, it gets everything, while the old
// servers are still there to go back to. It is completed where there is evidence that it
// is no worse, by route. In doubt it is reverted: a good version can be ordered again.

// Limits bound what a version that turns out bad may get.
type Limits struct {
	// Share of all requests between the order and the end of its duration, and Slack
	// requests beside it.
	Share float64
	Slack float64
}

// DefaultLimits are for deployments that state none.
var DefaultLimits = Limits{Share: 0.1, Slack: 50}

const (
	// The trial uses trialLeastPart of what is allowed, and up to trialMostPart where it
	// needs that for trialAnswers on each route, or is in doubt after half of its time.
	trialLeastPart = 0.25
	trialMostPart  = 0.5
	trialAnswers   = 20
	// switchPart of what is allowed is used when a roll-out in doubt is reverted, and
	// stepTakes is how long requests go on to the version until then.
	switchPart = 0.9
	stepTakes  = 500 * time.Millisecond
	// arrivalPart of the requests that are expected until the end are counted on.
	arrivalPart = 0.8
	// mostOfRoute is the largest part of a route's requests in a trial.
	mostOfRoute = 0.5
	// ratesAfter is when the rates of the routes are known, and fewRequests enough of them.
	ratesAfter  = 1200 * time.Millisecond
	fewRequests = 20
	// reshareAfter is the least time between two changes of the shares.
	reshareAfter = 3 * time.Second

	// spareShare of the duration, within bounds, is left when a roll-out is completed: the
	// operator has to learn of it, and a new leader may be elected meanwhile.
	spareShare = 0.12
	spareLeast = 1200 * time.Millisecond
	spareMost  = 4 * time.Second
	// lastMoment before the end of the duration what is undecided is reverted.
	lastMoment = 600 * time.Millisecond
	// switchCalls and switchStreams are how long all requests go to the version before it
	// is completed, at least: some reports of the routers, and copies of what still runs.
	switchCalls   = 700 * time.Millisecond
	switchStreams = 1500 * time.Millisecond
	// moveCalls and moveStreams are how long what runs elsewhere has to end, or to go on.
	moveCalls   = 300 * time.Millisecond
	moveStreams = 900 * time.Millisecond

	// acceptChance is how often a version that is worse by an excess is taken for good,
	// and switchChance the same for the switch, from which there is a way back.
	acceptChance = 0.05
	switchChance = 0.2
	// excessAll and excessRoute of the rate of bad answers, over all routes and on one.
	excessAll   = 0.15
	excessRoute = 0.35
	// doubtSurprise is the evidence at which a version is not taken for good.
	doubtSurprise = 3.5
	// minorRoute has so small a part of the requests that it is judged with the others.
	minorRoute = 0.02
)

// View is what a control VM knows beside the evidence.
type View struct {
	Elapsed time.Duration // since the order was accepted
	Step    time.Duration // since the last step
	// InForce: every router applies the last step.
	InForce bool
	// Target and Former servers are listed.
	TargetServers, FormerServers int
}

// Judge decides about one roll-out. It is not safe for concurrent use.
type Judge struct {
	limits Limits
	number uint64

	slots   []slot        // the last one is still growing
	at      Evidence      // when the last slot began
	last    Evidence      // at the last look
	begunAt time.Duration // of the last slot, as elapsed
	// whole and late are the comparisons over all slots, and over the last ones.
	whole, late comparison
	// hadFormer: servers of another version were listed.
	hadFormer bool
}

// NewJudge returns a Judge of a roll-out.
func NewJudge(l Limits, number uint64) *Judge {
	return &Judge{limits: l, number: number}
}

// Number is that of the roll-out.
func (j *Judge) Number() uint64 { return j.number }

// Look takes what is known now, and returns the next step, if it is time for one. It keeps
// the evidence.
func (j *Judge) Evaluate(r *Record, e *Evidence, v View) (Step, bool) {
	j.note(e, v.Elapsed)
	j.hadFormer = j.hadFormer || v.FormerServers > 0
	next := Step{Service: r.Service, Number: r.Number, Phase: r.Phase, Shares: r.Shares, DefaultShare: r.DefaultShare}
	step := func(p Phase, reason string) (Step, bool) {
		next.Phase, next.Reason = p, reason
		return next, true
	}
	p := j.plan(r, e)
	if !j.hadFormer && v.TargetServers > 0 && v.Elapsed > p.trialLeast {
		return j.nothingElse(r, step)
	}
	if why := cmp.Or(j.whole.bad(), j.late.bad()); why != "" {
		return step(Reverted, why)
	}
	last := v.Elapsed >= r.Duration-lastMoment
	switch r.Phase {
	case Trial:
		if v.Elapsed >= p.switchAt && p.hasServers(&v) && j.doubt(e, p.switchChance) == "" {
			return step(Switching, j.summary())
		}
		if last {
			return step(Reverted, "no sufficient evidence in time: "+j.doubt(e, p.switchChance))
		}
		if shares, ok := j.reshare(r, e, &p, v); ok {
			next.Shares, next.DefaultShare = shares, p.share
			return step(Trial, "shares by the rates of the routes")
		}
	case Switching:
		if v.Step < p.switchFor && v.Elapsed < r.Duration-lastMoment-p.moveFor {
			break
		}
		doubt := j.doubt(e, acceptChance)
		switch {
		case doubt == "":
			return step(Moving, j.summary())
		case float64(e.Sent)+p.rate*stepTakes.Seconds() >= switchPart*p.allowed:
			return step(Reverted, "in doubt, and no more may go there: "+doubt)
		case last:
			return step(Reverted, "no sufficient evidence in time: "+doubt)
		}
	case Moving:
		// A router that cannot be told in time finds the old servers gone, and sends nothing.
		if v.Step >= p.moveFor && (v.InForce || last) {
			return step(Completed, j.summary())
		}
	case Completed, Reverted:
	}
	return Step{}, false
}

// nothingElse takes a roll-out on that finds no servers of another version: there is
// nothing to compare with, and nothing to go back to.
func (j *Judge) nothingElse(r *Record, step func(Phase, string) (Step, bool)) (Step, bool) {
	const why = "no servers of another version"
	switch r.Phase {
	case Trial:
		return step(Switching, why)
	case Switching:
		return step(Moving, why)
	case Moving:
		return step(Completed, why)
	case Completed, Reverted:
	}
	return Step{}, false
}

// note sorts the evidence into slots by when it came.
func (j *Judge) note(e *Evidence, elapsed time.Duration) {
	if len(j.slots) == 0 || elapsed-j.begunAt >= slotLength {
		if len(j.slots) > 0 {
			j.at = j.last
			j.slots[len(j.slots)-1].settle()
		}
		j.slots = append(j.slots, slot{})
		j.begunAt = elapsed
	}
	j.last = *e
	newest := len(j.slots) - 1
	j.slots[newest] = since(e, &j.at)
	if over := newest - 2; over >= 0 && j.slots[over].judged == nil {
		j.slots[over].judged = judgeSlot(j.slots, over, e.Former)
	}
	j.whole = compare(j.slots, len(j.slots), e.Former)
	j.late = compare(j.slots, recent(j.slots), e.Former)
}

// plan is the times and the share of a roll-out.
type plan struct {
	share      float64 // of all requests, in the trial
	allowed    float64 // requests that may reach a bad version
	rate       float64 // requests a second
	switchAt   time.Duration
	noLater    time.Duration // than this the switch waits for servers
	switchFor  time.Duration
	moveFor    time.Duration
	trialLeast time.Duration
	// switchChance is how often a version that is worse is switched to.
	switchChance float64
}

func (j *Judge) plan(r *Record, e *Evidence) plan {
	elapsed := max(j.begunAt, slotLength)
	p := plan{switchFor: switchCalls, moveFor: moveCalls, trialLeast: min(spareLeast, r.Duration/4), switchChance: switchChance}
	if hasStreams(e) {
		// Their answers come too late to be waited for while requests are switched.
		p.switchFor, p.moveFor, p.switchChance = switchStreams, moveStreams, acceptChance
	}
	p.rate = float64(e.total()) / elapsed.Seconds()
	left := max(0, r.Duration-elapsed)
	all := float64(e.total()) + arrivalPart*p.rate*left.Seconds()
	p.allowed = j.limits.Share*all + j.limits.Slack
	trial := min(trialMostPart*p.allowed, max(trialLeastPart*p.allowed, trialAnswers*float64(len(e.Requests))))
	if elapsed > r.Duration/2 && j.doubt(e, switchChance) != "" {
		trial = trialMostPart * p.allowed
	}
	if p.rate > 0 {
		room := max(0, switchPart*p.allowed-max(float64(e.Sent), trial)) / p.rate
		p.switchFor = min(p.switchFor, time.Duration(room*float64(time.Second)))
	}
	spare := min(max(time.Duration(spareShare*float64(r.Duration)), spareLeast), spareMost)
	p.switchAt = max(r.Duration-spare-p.moveFor-p.switchFor, r.Duration/4)
	p.noLater = p.switchAt + spare/2
	p.share = mostOfRoute
	if toCome := p.rate * max(p.switchAt-elapsed, slotLength).Seconds(); toCome > 0 {
		p.share = min(mostOfRoute, max(0, trial-float64(e.Sent))/toCome)
	}
	return p
}

// hasServers reports whether there are as many servers of the new version as of the
// others, or some and no time to wait for more.
func (p *plan) hasServers(v *View) bool {
	return v.TargetServers > 0 && (v.TargetServers >= v.FormerServers || v.Elapsed >= p.noLater)
}

func hasStreams(e *Evidence) bool {
	for cell := range e.Former {
		if cell.Measure == Pace {
			return true
		}
	}
	return false
}

// reshare returns the share of each route, such that each route sends the version as
// many requests as any other, as far as it has them.
func (j *Judge) reshare(r *Record, e *Evidence, p *plan, v View) (map[string]float64, bool) {
	if float64(e.Sent) >= switchPart*(j.limits.Share*float64(e.total())+j.limits.Slack) {
		// More than was meant to: the version gets nothing for now.
		p.share = 0
		return nil, r.DefaultShare > 0
	}
	known := v.Elapsed >= ratesAfter && e.total() >= fewRequests
	changed := r.Shares != nil || r.DefaultShare == 0
	if !known || changed && v.Step < reshareAfter {
		return nil, false
	}
	shares := evenShares(e.Requests, p.share)
	return shares, r.Shares == nil || differ(shares, r.Shares)
}

// evenShares divides a share of all requests evenly over the routes.
func evenShares(requests map[string]int, share float64) map[string]float64 {
	routes := slices.SortedFunc(maps.Keys(requests), func(a, b string) int {
		return cmp.Or(cmp.Compare(requests[a], requests[b]), cmp.Compare(a, b))
	})
	left := 0.0
	for _, n := range requests {
		left += share * float64(n)
	}
	out := map[string]float64{}
	for i, route := range routes {
		n := float64(requests[route])
		sent := min(mostOfRoute*n, left/float64(len(routes)-i))
		left -= sent
		// Rounded, so that small changes of the rates are no new step.
		out[route] = math.Round(1000*sent/max(1, n)) / 1000
	}
	return out
}

// differ reports whether shares have changed by more than the rates do by chance.
func differ(a, b map[string]float64) bool {
	for route, s := range a {
		if old, ok := b[route]; !ok || math.Abs(s-old) > 0.3*max(s, old) {
			return true
		}
	}
	return false
}

// doubt returns why the version cannot be taken for good yet, but for one time in
// chance; "": it can.
func (j *Judge) doubt(e *Evidence, chance float64) string {
	if why := unsure("all routes", &j.whole.all, excessAll, chance); why != "" {
		return why
	}
	if why := unsure("all routes, of late", &j.late.all, excessRoute, chance); why != "" {
		return why
	}
	total := e.total()
	for _, route := range slices.Sorted(maps.Keys(e.Requests)) {
		if float64(e.Requests[route]) < minorRoute*float64(total) {
			continue
		}
		v := j.whole.cells[Cell{Route: route}]
		if v == nil {
			v = &verdict{}
		}
		if why := unsure("route "+route, v, excessRoute, chance); why != "" {
			return why
		}
	}
	return ""
}

func unsure(what string, v *verdict, excess, chance float64) string {
	if v.surprise() < doubtSurprise && v.failed.atMostWorseBy(excess, chance) && v.slow.atMostWorseBy(excess, chance) {
		return ""
	}
	return fmt.Sprintf("%s: %v", what, v)
}

func (j *Judge) summary() string { return j.whole.all.String() }
