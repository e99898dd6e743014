package rollout

import (
	"cmp"
	"fmt"
	"maps"
	"math"
	"slices"
	"time"
)

// This file decides when a roll-out advances, is completed or is reverted.
//
// Load pattern: a new version fails a part of its requests, or answers several times
// slower. It may do so from its start or later, on all routes or on one, or only once it
// carries the entire load. If the share grows in fixed steps and each step is observed for
// a while, a version that goes bad late meets the fault with half of all requests. A
// version that never gets much shows a fault under load only when the old servers are gone.
//
// The share is therefore bounded by the number of requests that could still reach the
// version if it went bad at this moment. For most of the time the version gets a small
// share, with a larger part of the routes that have few requests, so that there are answers
// to judge each route by. As late as the order's duration allows, and for no longer than
// the bound allows, it gets all requests while the old servers still exist as a way back.
// It is completed if there is evidence, by route, that it is no worse. Without sufficient
// evidence it is reverted, because a good version can be ordered again.

// Limits bound the number of requests that a bad version may get.
type Limits struct {
	// Share is a fraction of all requests between the order and the end of its duration.
	// Slack is a number of requests in addition to it.
	Share float64
	Slack float64
}

// DefaultLimits apply to deployments that configure none.
var DefaultLimits = Limits{Share: 0.1, Slack: 50}

const (
	// The trial uses minTrialBudgetShare of the allowed requests. It uses up to
	// maxTrialBudgetShare, or what need not be kept for the switch, if that is needed for
	// minTrialAnswers on each route, or if the evidence is inconclusive after half of the duration.
	minTrialBudgetShare = 0.25
	maxTrialBudgetShare = 0.5
	minTrialAnswers     = 20
	// usableBudgetShare of the allowed requests may be sent before an inconclusive roll-out
	// is reverted. stepDelay is how long requests still reach the version after that
	// decision.
	usableBudgetShare = 0.9
	stepDelay         = 500 * time.Millisecond
	// expectedArrivalShare is the fraction of the requests expected until the end that the
	// allowed number is computed from.
	expectedArrivalShare = 0.8
	// maxRouteShare is the largest share of a route's requests in a trial.
	maxRouteShare = 0.8
	// rateWarmup is the time after which the request rates of the routes are known, if at
	// least minRateRequests have come.
	rateWarmup      = 1200 * time.Millisecond
	minRateRequests = 20
	// minReshareInterval is the least time between two changes of the shares.
	minReshareInterval = 3 * time.Second

	// spareShare of the duration, between minSpare and maxSpare, is left when a roll-out is
	// completed. The operator must be informed, and a new leader may be elected meanwhile.
	spareShare = 0.12
	minSpare   = 1200 * time.Millisecond
	maxSpare   = 4 * time.Second
	// decisionMargin before the end of the duration, an undecided roll-out is reverted.
	decisionMargin = 600 * time.Millisecond
	// callSwitchTime and streamSwitchTime are the least time for which all requests go to
	// the version before it is completed. They cover several reports of the routers and the
	// copies of runs that are still in flight.
	callSwitchTime   = 700 * time.Millisecond
	streamSwitchTime = 1500 * time.Millisecond
	// callMoveTime and streamMoveTime are the least time for which runs on other servers may
	// end. A stream cannot go on at the new version: the completion waits until those of other
	// versions have ended. maxMoveShare is the largest share of the duration that is planned for
	// it.
	callMoveTime   = 300 * time.Millisecond
	streamMoveTime = 900 * time.Millisecond
	maxMoveShare   = 0.25

	// excessAll and excessRoute are the excess of the rate of bad answers that must be
	// ruled out, over all routes and on one route. errorRateAll and errorRateRoute are the
	// probabilities of accepting a version that is worse by as much, or of switching to it.
	excessAll      = 0.15
	excessRoute    = 0.35
	errorRateAll   = 0.01
	errorRateRoute = 0.03
	// excessSlow is the excess of slow answers, if it is larger: they are not lost, and a few of each
	// version are slow.
	excessSlow = 0.3
	// uncertainLLR is the log-likelihood ratio from which a version is not accepted.
	uncertainLLR = 3.5
	// minorRouteShare is the share of all requests below which a route is judged only
	// together with the others.
	minorRouteShare = 0.02
)

// View holds what a control VM knows in addition to the evidence.
type View struct {
	Elapsed time.Duration // since the order was accepted
	Step    time.Duration // since the last step
	// InForce is set if every router applies the last step.
	InForce bool
	// TargetServers and FormerServers count the listed servers of the new and of other
	// versions.
	TargetServers, FormerServers int
}

// Judge decides on one roll-out. It is not safe for concurrent use.
type Judge struct {
	limits Limits
	number uint64

	intervals         []interval    // the last one is still growing
	intervalStart     Evidence      // when the last interval began
	lastEvidence      Evidence      // at the last evaluation
	intervalStartedAt time.Duration // start of the last interval, since the order
	// overall and recent are the comparisons over all intervals and over the last ones.
	overall, recent comparison
	// hadFormer is set once servers of another version were listed.
	hadFormer bool
}

// NewJudge returns a Judge of the roll-out with the given number.
func NewJudge(l Limits, number uint64) *Judge {
	return &Judge{limits: l, number: number}
}

// Number returns the number of the roll-out.
func (j *Judge) Number() uint64 { return j.number }

// Evaluate takes the current evidence and returns the next step if one is due. It retains
// the evidence.
func (j *Judge) Evaluate(r *Record, e *Evidence, v View) (Step, bool) {
	j.note(e, v.Elapsed)
	j.hadFormer = j.hadFormer || v.FormerServers > 0
	next := Step{Service: r.Service, Number: r.Number, Phase: r.Phase, Shares: r.Shares, DefaultShare: r.DefaultShare}
	step := func(p Phase, reason string) (Step, bool) {
		next.Phase, next.Reason = p, reason
		return next, true
	}
	p := j.schedule(r, e)
	if !j.hadFormer && v.TargetServers > 0 && v.Elapsed > p.minTrial {
		return j.withoutFormer(r, step)
	}
	if why := cmp.Or(j.overall.whyBad(), j.recent.whyBad()); why != "" {
		return step(Reverted, why)
	}
	last := v.Elapsed >= r.Duration-decisionMargin
	switch r.Phase {
	case Trial:
		if v.Elapsed >= p.switchAt && p.hasServers(&v) && j.inconclusive(e) == "" {
			return step(Switching, j.summary())
		}
		if last {
			return step(Reverted, "no sufficient evidence in time: "+j.inconclusive(e))
		}
		if shares, ok := j.reshare(r, e, &p, v); ok {
			next.Shares, next.DefaultShare = shares, p.share
			return step(Trial, "shares by the rates of the routes")
		}
	case Switching:
		if v.Step < p.switchFor && v.Elapsed < r.Duration-decisionMargin-p.moveFor {
			break
		}
		reason := cmp.Or(j.inconclusive(e), j.lateDoubt(e))
		switch {
		case reason == "":
			return step(Moving, j.summary())
		case float64(e.Sent)+p.lateRate*stepDelay.Seconds() >= usableBudgetShare*p.allowed:
			return step(Reverted, "in doubt, and no more may go there: "+reason)
		case last:
			return step(Reverted, "no sufficient evidence in time: "+reason)
		}
	case Moving:
		// A router that does not receive the step in time finds the old servers gone and
		// sends nothing.
		ended := v.Step >= p.leastMove && v.InForce && e.otherStreams(r.To) == 0
		if ended || last && v.Step >= p.leastMove {
			return step(Completed, fmt.Sprintf("%s; %d streams of other versions under way", j.summary(), e.otherStreams(r.To)))
		}
	case Completed, Reverted:
	}
	return Step{}, false
}

// withoutFormer advances a roll-out for which there are no servers of another version.
// There is nothing to compare with and nothing to revert to.
func (j *Judge) withoutFormer(r *Record, step func(Phase, string) (Step, bool)) (Step, bool) {
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

// note assigns new evidence to the interval in which it came.
func (j *Judge) note(e *Evidence, elapsed time.Duration) {
	if len(j.intervals) == 0 || elapsed-j.intervalStartedAt >= intervalLength {
		if len(j.intervals) > 0 {
			j.intervalStart = j.lastEvidence
			j.intervals[len(j.intervals)-1].dropWaiting()
		}
		j.intervals = append(j.intervals, interval{})
		j.intervalStartedAt = elapsed
	}
	j.lastEvidence = *e
	newest := len(j.intervals) - 1
	j.intervals[newest] = intervalBetween(e, &j.intervalStart)
	j.intervals[newest].requestsBefore = j.intervalStart.total()
	if over := newest - 2; over >= 0 && j.intervals[over].judged == nil {
		j.intervals[over].judged = judgeInterval(j.intervals, over, e.Former)
	}
	j.overall = compare(j.intervals, len(j.intervals), e.Former)
	j.recent = compare(j.intervals, recentCount(j.intervals), e.Former)
}

// schedule holds the times and the share of a roll-out.
type schedule struct {
	share        float64 // of all requests, in the trial
	allowed      float64 // requests that may reach a bad version
	rate         float64 // requests per second
	lateRate     float64 // the same of late, if it is higher
	switchAt     time.Duration
	latestSwitch time.Duration // until then the switch waits for servers
	switchFor    time.Duration
	moveFor      time.Duration // planned until the streams of other versions have ended
	leastMove    time.Duration
	minTrial     time.Duration
}

func (j *Judge) schedule(r *Record, e *Evidence) schedule {
	elapsed := max(j.intervalStartedAt, intervalLength)
	p := schedule{switchFor: callSwitchTime, moveFor: callMoveTime, minTrial: min(minSpare, r.Duration/4)}
	if hasStreams(e) {
		// The answers of streams come too late to be awaited while requests are switched.
		p.switchFor, p.moveFor = streamSwitchTime, streamMoveTime
	}
	p.leastMove = p.moveFor
	if hasStreams(e) {
		p.moveFor = min(max(p.moveFor, e.LongestStream), max(p.moveFor, time.Duration(maxMoveShare*float64(r.Duration))))
	}
	p.rate = float64(e.total()) / elapsed.Seconds()
	p.lateRate = max(p.rate, j.lateRate(e))
	left := max(0, r.Duration-elapsed)
	all := float64(e.total()) + expectedArrivalShare*p.rate*left.Seconds()
	p.allowed = j.limits.Share*all + j.limits.Slack
	// Where requests are few, all of them cost little while they are switched, and the trial may use
	// the rest.
	most := max(maxTrialBudgetShare*p.allowed, usableBudgetShare*p.allowed-p.rate*(p.switchFor+stepDelay).Seconds())
	trial := min(most, max(minTrialBudgetShare*p.allowed, minTrialAnswers*float64(len(e.Requests))))
	if elapsed > r.Duration/2 && j.inconclusive(e) != "" {
		trial = most
	}
	if p.lateRate > 0 {
		room := max(0, usableBudgetShare*p.allowed-max(float64(e.Sent), trial)) / p.lateRate
		p.switchFor = min(p.switchFor, time.Duration(room*float64(time.Second)))
	}
	spare := min(max(time.Duration(spareShare*float64(r.Duration)), minSpare), maxSpare)
	p.switchAt = max(r.Duration-spare-p.moveFor-p.switchFor, r.Duration/4)
	p.latestSwitch = p.switchAt + spare/2
	p.share = maxRouteShare
	if toCome := p.rate * max(p.switchAt-elapsed, intervalLength).Seconds(); toCome > 0 {
		p.share = min(maxRouteShare, max(0, trial-float64(e.Sent))/toCome)
	}
	return p
}

// lateRate returns the requests per second in the present interval and the last one. In a burst, more
// requests than on average reach the version between a decision and its application.
func (j *Judge) lateRate(e *Evidence) float64 {
	last := max(0, len(j.intervals)-2)
	n := len(j.intervals) - last
	return float64(e.total()-j.intervals[last].requestsBefore) / (time.Duration(n) * intervalLength).Seconds()
}

// hasServers reports whether there are as many servers of the new version as of the others,
// or some and no time to wait for more.
func (p *schedule) hasServers(v *View) bool {
	return v.TargetServers > 0 && (v.TargetServers >= v.FormerServers || v.Elapsed >= p.latestSwitch)
}

func hasStreams(e *Evidence) bool {
	for cell := range e.Former {
		if cell.Measure == Pace {
			return true
		}
	}
	return false
}

// reshare returns the share of each route. Each route sends the version the same number of
// requests as far as it has that many.
func (j *Judge) reshare(r *Record, e *Evidence, p *schedule, v View) (map[string]float64, bool) {
	if float64(e.Sent) >= usableBudgetShare*(j.limits.Share*float64(e.total())+j.limits.Slack) {
		// More requests than intended were sent, so the version gets none for now.
		p.share = 0
		return nil, r.DefaultShare > 0
	}
	known := v.Elapsed >= rateWarmup && e.total() >= minRateRequests
	changed := r.Shares != nil || r.DefaultShare == 0
	if !known || changed && v.Step < minReshareInterval {
		return nil, false
	}
	shares := evenShares(e.Requests, p.share)
	return shares, r.Shares == nil || sharesDiffer(shares, r.Shares)
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
		sent := min(maxRouteShare*n, left/float64(len(routes)-i))
		left -= sent
		// Rounding keeps small changes of the rates from causing a new step.
		out[route] = math.Round(1000*sent/max(1, n)) / 1000
	}
	return out
}

// sharesDiffer reports whether shares have changed by more than the random variation of the
// rates.
func sharesDiffer(a, b map[string]float64) bool {
	for route, s := range a {
		if old, ok := b[route]; !ok || math.Abs(s-old) > 0.3*max(s, old) {
			return true
		}
	}
	return false
}

// inconclusive returns the reason why the version cannot be accepted yet, nor all requests
// switched to it; "": there is none.
func (j *Judge) inconclusive(e *Evidence) string {
	if why := inconclusiveVerdict("all routes", &j.overall.all, j.overall.allByServer, excessAll, errorRateAll); why != "" {
		return why
	}
	if why := inconclusiveVerdict("all routes, of late", &j.recent.all, j.recent.allByServer, excessRoute, errorRateAll); why != "" {
		return why
	}
	total := e.total()
	for _, route := range slices.Sorted(maps.Keys(e.Requests)) {
		if float64(e.Requests[route]) < minorRouteShare*float64(total) {
			continue
		}
		cell := Cell{Route: route}
		v := j.overall.cells[cell]
		if v == nil {
			v = &verdict{}
		}
		if why := inconclusiveVerdict("route "+route, v, j.overall.byServer[cell], excessRoute, errorRateRoute); why != "" {
			return why
		}
	}
	return ""
}

// lateDoubt returns the reason why the version may have turned bad after a good period; "":
// there is none. With few answers, the window of the recent comparison reaches back into the
// good period. Windows of doubling length that end now include one that begins near the
// change, and cost together at most twice the comparison over all intervals.
func (j *Judge) lateDoubt(e *Evidence) string {
	for n := minRecentIntervals; n < len(j.intervals); n *= 2 {
		c := compare(j.intervals, n, e.Former)
		if c.all.llr() >= uncertainLLR {
			return fmt.Sprintf("the last %v: %v", time.Duration(n)*intervalLength, &c.all)
		}
	}
	return ""
}

// inconclusiveVerdict returns the reason why a verdict does not suffice; "": it does. byServer are the
// verdicts of all servers, of which v may leave one out.
func inconclusiveVerdict(what string, v *verdict, byServer map[string]verdict, excess, errorRate float64) string {
	if v.llr() >= uncertainLLR || !v.failed.atMostWorseBy(excess, errorRate) || !v.slow.atMostWorseBy(max(excess, excessSlow), errorRate) {
		return fmt.Sprintf("%s: %v", what, v)
	}
	failed, slow := talliesOf(byServer)
	if !isOneServer(failed, excess, errorRate) || !isOneServer(slow, max(excess, excessSlow), errorRate) {
		return fmt.Sprintf("%s: %v, and the bad answers of another server may be the version's", what, v)
	}
	return ""
}

// isOneServer reports whether a version is no worse by excess with all of its servers, or the bad
// answers are rather those of one faulty server.
func isOneServer(servers []tally, excess, errorRate float64) bool {
	var total tally
	for _, t := range servers {
		total.add(t)
	}
	return total.atMostWorseBy(excess, errorRate) || oneServerLLR(servers, excess) >= -math.Log(errorRate)
}

func (j *Judge) summary() string { return j.overall.all.String() }
