package rollout

import (
	"fmt"
	"maps"
	"math"
	"slices"
	"time"
)

// This file compares the answers of two versions.
//
// Load pattern: both versions run beside one another while zones are lost, callers come in
// bursts and single servers fail. Compared over the entire roll-out, a version that got
// most of its requests during a burst looks slower than one that did not. Compared by one
// server, a version looks bad if that server is bad. Compared over all routes, a version
// that fails one of five routes fails only two requests in a hundred.
//
// Therefore the answers of each second are compared, by route, with those of the former
// version in the seconds around it. The sums over these seconds are tested for each route
// and for all routes, over the entire roll-out and over its most recent part. The single
// server that does worst is left out on either side. Aborted requests count for nothing,
// because engines that die abort whatever they run, regardless of their version.

const (
	// intervalLength is the length of the intervals within which answers are compared.
	intervalLength = time.Second
	// The most recent intervals are also tested by themselves, since a version may go bad
	// after a long good period. They are at least minRecentIntervals, and as many more as
	// hold minRecentAnswers.
	minRecentIntervals = 3
	minRecentAnswers   = 24
	// priorWeight is the weight, in answers, of the entire roll-out beside those of an
	// interval.
	priorWeight = 10
	// An answer is slow if it is slowBuckets above the former version's median, that is 2.4
	// times as long, and longer by at least minSlowExcess: a busy VM delays short answers
	// by as much.
	slowBuckets   = bucketsPerOctave + 1
	minSlowExcess = 20 * time.Millisecond
	// rateSlack and rateFloor are the relative and the absolute excess of a rate that is
	// not attributed to the new version.
	rateSlack = 1.25
	rateFloor = 0.005
	// badLLR is the log-likelihood ratio at which a version counts as bad. Chance exceeds
	// it in fewer than one of a thousand roll-outs that are evaluated about a hundred times
	// each.
	badLLR = 8
	// minBadAnswers are needed to call a version bad, since two may be chance.
	minBadAnswers = 3
	// outlierLLR is the log-likelihood ratio, against the other servers of its version, at
	// which one server is treated as an outlier. A bad version with few answers must not
	// lose a third of them because one server drew most of the bad ones.
	outlierLLR = 3
	// othersLLR is the log-likelihood ratio that the other servers of a bad version must reach.
	othersLLR = 2.5
	// minOutlierAnswers bad ones make a server an outlier, since one may be chance.
	minOutlierAnswers = 2
)

// interval holds the answers of one interval.
type interval struct {
	former, target map[Cell]CountsByServer
	// judged holds the verdicts on the new version by server. It is set once this interval
	// and the next one are over.
	judged map[Cell]map[string]verdict
	// requestsBefore is the number of requests before the interval.
	requestsBefore int
}

// intervalBetween returns the answers between two cumulative sums of evidence.
func intervalBetween(now, before *Evidence) interval {
	return interval{former: increments(now.Former, before.Former), target: increments(now.Target, before.Target)}
}

func increments(now, before map[Cell]CountsByServer) map[Cell]CountsByServer {
	out := make(map[Cell]CountsByServer, len(now))
	for cell, servers := range now {
		out[cell] = make(CountsByServer, len(servers))
		for server, c := range servers {
			if was := before[cell][server]; c.Answers > was.Answers || len(c.Waiting) > 0 {
				out[cell][server] = c.minus(was)
			}
		}
	}
	return out
}

// dropWaiting drops the waiting requests when the interval is over. They are part of the
// next interval, or answered.
func (s *interval) dropWaiting() {
	for _, cells := range []map[Cell]CountsByServer{s.former, s.target} {
		for _, servers := range cells {
			for server, c := range servers {
				c.Waiting = nil
				servers[server] = c
			}
		}
	}
}

// answers returns the number of answers of the new version.
func (s *interval) answers() int {
	n := 0
	for cell, servers := range s.target {
		if cell.Measure == Response {
			for _, c := range servers {
				n += c.Answers
			}
		}
	}
	return n
}

// recentCount returns how many of the last intervals are tested by themselves.
func recentCount(intervals []interval) int {
	answers := 0
	for n := 1; n <= len(intervals); n++ {
		answers += intervals[len(intervals)-n].answers()
		if n >= minRecentIntervals && answers >= minRecentAnswers {
			return n
		}
	}
	return len(intervals)
}

// tally counts bad answers and how many were expected. atMost is how many could be expected if the
// former version had had one bad answer more: with few answers, chance may have left it out. atLeast
// is how many would be if a server of the former version is faulty that seems to be.
type tally struct{ n, bad, expected, atMost, atLeast float64 }

func (t *tally) add(o tally) {
	t.n += o.n
	t.bad += o.bad
	t.expected += o.expected
	t.atMost += o.atMost
	t.atLeast += o.atLeast
}

func (t *tally) minus(o tally) tally {
	return tally{t.n - o.n, t.bad - o.bad, t.expected - o.expected, t.atMost - o.atMost, t.atLeast - o.atLeast}
}

// expectedRate returns the former version's rate plus the excess that is not attributed to
// the new version.
func (t *tally) expectedRate() float64 {
	return t.slackRate(t.expected)
}

func (t *tally) slackRate(expected float64) float64 {
	if t.n == 0 {
		return rateFloor
	}
	return min(rateSlack*expected/t.n+rateFloor, 1-rateFloor)
}

func (t *tally) isBad() bool {
	return t.bad >= minBadAnswers && logLikelihoodRatio(t.bad, t.n, t.slackRate(t.atMost)) >= badLLR
}

// atMostWorseBy reports whether the new version's rate exceeds the expected one by less than
// excess. It is wrong with a probability of errorRate.
func (t *tally) atMostWorseBy(excess, errorRate float64) bool {
	return binomialCDF(t.bad, t.n, t.slackRate(t.atLeast)+excess) <= errorRate
}

// verdict holds the tallies of one cell.
type verdict struct{ failed, slow tally }

func (v *verdict) add(o *verdict) {
	v.failed.add(o.failed)
	v.slow.add(o.slow)
}

// minus returns v without the tallies of o.
func (v *verdict) minus(o *verdict) verdict {
	return verdict{v.failed.minus(o.failed), v.slow.minus(o.slow)}
}

// String describes the tallies for an operator.
func (v *verdict) String() string {
	return fmt.Sprintf("%.0f of %.0f answers failed, %.1f expected; %.0f of %.0f slow, %.1f expected",
		v.failed.bad, v.failed.n, v.failed.expected, v.slow.bad, v.slow.n, v.slow.expected)
}

// comparison holds the verdicts over several intervals.
type comparison struct {
	cells map[Cell]*verdict // without the worst server where there are several
	all   verdict           // sum over the cells of measure Response
	// byServer and allByServer are the verdicts of cells and all with every server.
	byServer    map[Cell]map[string]verdict
	allByServer map[string]verdict
}

// compare judges the last n intervals. overall holds the former version's answers of all
// intervals.
func compare(intervals []interval, n int, overall map[Cell]CountsByServer) comparison {
	byServer := map[Cell]map[string]verdict{}
	out := comparison{cells: map[Cell]*verdict{}, byServer: byServer, allByServer: map[string]verdict{}}
	for i := max(0, len(intervals)-n); i < len(intervals); i++ {
		judged := intervals[i].judged
		if judged == nil {
			judged = judgeInterval(intervals, i, overall)
		}
		for cell, servers := range judged {
			if byServer[cell] == nil {
				byServer[cell] = map[string]verdict{}
			}
			addByServer(byServer[cell], servers)
			if cell.Measure == Response {
				addByServer(out.allByServer, servers)
			}
		}
	}
	for _, cell := range slices.SortedFunc(maps.Keys(byServer), Cell.compare) {
		v := withoutWorst(byServer[cell])
		out.cells[cell] = &v
		if cell.Measure == Response {
			out.all.add(&v)
		}
	}
	return out
}

func addByServer(sum, servers map[string]verdict) {
	for server, v := range servers {
		s := sum[server]
		s.add(&v)
		sum[server] = s
	}
}

// judgeInterval compares the new version's answers of an interval with those of the former
// version in the intervals around it.
func judgeInterval(intervals []interval, i int, overall map[Cell]CountsByServer) map[Cell]map[string]verdict {
	out := map[Cell]map[string]verdict{}
	for cell, servers := range intervals[i].target {
		faulty := faultyServer(overall[cell], badLLR)
		near := sumFormer(intervals[max(0, i-1):min(len(intervals), i+2)], cell)
		e := expect(near.without(faulty), overall[cell].without(faulty))
		if suspect := faultyServer(overall[cell], outlierLLR); suspect != faulty {
			e.failedAtLeast = min(e.failed, expect(near.without(suspect), overall[cell].without(suspect)).failed)
		}
		out[cell] = make(map[string]verdict, len(servers))
		for server, c := range servers {
			out[cell][server] = e.judge(c)
		}
	}
	return out
}

func sumFormer(intervals []interval, cell Cell) CountsByServer {
	sum := CountsByServer{}
	for i := range intervals {
		for server, c := range intervals[i].former[cell] {
			sum.add(server, c)
		}
	}
	return sum
}

// without returns the sum over all servers except one.
func (s CountsByServer) without(server string) Counts {
	var sum Counts
	for id, c := range s {
		if id != server {
			sum = sum.plus(c)
		}
	}
	return sum
}

// faultyServer returns the server that fails more often than the others, by a log-likelihood ratio of
// at least least; "": there is none.
func faultyServer(s CountsByServer, least float64) string {
	answers, failures := 0, 0
	for _, c := range s {
		answers += c.Answers
		failures += c.Failures
	}
	faulty, most := "", 0.0
	for _, id := range slices.Sorted(maps.Keys(s)) {
		c := s[id]
		others := answers - c.Answers
		if others == 0 {
			continue
		}
		rate := rateSlack*float64(failures-c.Failures)/float64(others) + rateFloor
		if v := logLikelihoodRatio(float64(c.Failures), float64(c.Answers), min(rate, 1-rateFloor)); v > most && v >= least {
			faulty, most = id, v
		}
	}
	return faulty
}

// expectation holds the rates that the former version would have had.
type expectation struct {
	failed, slow             float64
	failedAtMost, slowAtMost float64 // see tally
	failedAtLeast            float64
	slowFromBucket           int // 0: no times of the former version are known
}

func expect(near, overall Counts) expectation {
	e := expectation{
		failed:       smoothedRate(near.Failures, near.Answers, overall.Failures, overall.Answers),
		failedAtMost: smoothedRate(near.Failures, near.Answers, overall.Failures+1, overall.Answers+1),
	}
	e.failedAtLeast = e.failed
	times := near.Times
	if countOf(times) < priorWeight {
		times = overall.Times
	}
	if countOf(times) == 0 {
		return e
	}
	median := medianBucket(times)
	e.slowFromBucket = max(median+slowBuckets, int(bucketOf(bucketTime(median)+minSlowExcess)))
	waiting := countFrom(near.Waiting, e.slowFromBucket)
	slow, all := countFrom(overall.Times, e.slowFromBucket), countOf(overall.Times)
	nearSlow, nearAll := waiting+countFrom(near.Times, e.slowFromBucket), waiting+countOf(near.Times)
	e.slow = smoothedRate(nearSlow, nearAll, slow, all)
	e.slowAtMost = smoothedRate(nearSlow, nearAll, slow+1, all+1)
	return e
}

// smoothedRate returns x/n, smoothed with priorWeight answers at the rate of the entire
// roll-out.
func smoothedRate(x, n, allX, all int) float64 {
	rate := 0.0
	if all > 0 {
		rate = float64(allX) / float64(all)
	}
	return (float64(x) + priorWeight*rate) / (float64(n) + priorWeight)
}

// judge compares the answers of one server with the expectation.
func (e *expectation) judge(c Counts) verdict {
	n := float64(c.Answers)
	v := verdict{failed: tally{n: n, bad: float64(c.Failures), expected: n * e.failed, atMost: n * e.failedAtMost, atLeast: n * e.failedAtLeast}}
	if e.slowFromBucket > 0 {
		waiting := countFrom(c.Waiting, e.slowFromBucket) // already slow, whenever they are answered
		timed := float64(waiting + countOf(c.Times))
		v.slow = tally{n: timed, bad: float64(waiting + countFrom(c.Times, e.slowFromBucket)), expected: timed * e.slow, atMost: timed * e.slowAtMost, atLeast: timed * e.slow}
	}
	return v
}

// withoutWorst returns the sum over all servers. If one is far worse than the others, it is
// left out.
func withoutWorst(byServer map[string]verdict) verdict {
	servers := slices.Sorted(maps.Keys(byServer))
	var sum verdict
	for _, server := range servers {
		v := byServer[server]
		sum.add(&v)
	}
	worst, most := "", float64(outlierLLR)
	for _, server := range servers {
		v := byServer[server]
		others := sum.minus(&v)
		if llr := v.llrAgainst(&others); llr > most {
			worst, most = server, llr
		}
	}
	if worst == "" {
		return sum
	}
	v := byServer[worst]
	return sum.minus(&v)
}

// oneServerLLR returns the log-likelihood ratio of two explanations of the bad answers: one server is
// faulty and the others are as expected, or the whole version is worse by excess. The server was
// chosen by its answers among all of them, which counts against the first.
func oneServerLLR(servers []tally, excess float64) float64 {
	var total tally
	for _, t := range servers {
		total.add(t)
	}
	if total.n == 0 {
		return 0
	}
	worse := max(total.bad/total.n, total.slackRate(total.atLeast)+excess)
	best := math.Inf(-1)
	for _, t := range servers {
		others := total.minus(t)
		best = max(best, others.logLikelihood(others.expectedRate())+t.logLikelihood(t.bad/max(1, t.n)))
	}
	return best - math.Log(float64(len(servers))) - total.logLikelihood(worse)
}

// logLikelihood returns the logarithm of the probability of these answers, in their order, at a rate
// of bad ones.
func (t *tally) logLikelihood(rate float64) float64 {
	const least = 1e-6 // a rate of 0 or 1 that was observed is not exact
	rate = min(max(rate, least), 1-least)
	return t.bad*math.Log(rate) + (t.n-t.bad)*math.Log1p(-rate)
}

// llrAgainst returns the log-likelihood ratio of a server's bad answers at the rates of the
// other servers of its version; 0: too few answers to tell.
func (v *verdict) llrAgainst(others *verdict) float64 {
	return max(v.failed.llrAgainst(others.failed), v.slow.llrAgainst(others.slow))
}

func (t *tally) llrAgainst(others tally) float64 {
	if others.n == 0 || t.bad < minOutlierAnswers {
		return 0
	}
	rate := max(rateSlack*others.bad/others.n+rateFloor, t.expectedRate())
	return logLikelihoodRatio(t.bad, t.n, min(rate, 1-rateFloor))
}

func (v *verdict) llr() float64 { return max(v.failed.llr(), v.slow.llr()) }

func (t *tally) llr() float64 { return logLikelihoodRatio(t.bad, t.n, t.expectedRate()) }

// talliesOf returns the tallies of all servers, in the order of their ids.
func talliesOf(byServer map[string]verdict) (failed, slow []tally) {
	for _, server := range slices.Sorted(maps.Keys(byServer)) {
		failed, slow = append(failed, byServer[server].failed), append(slow, byServer[server].slow)
	}
	return failed, slow
}

// isBad reports whether the version is bad. byServer are the verdicts of all servers, of which v may
// leave one out. One faulty server and a single bad answer of another look like a bad version, so
// the other servers must show it as well.
func (v *verdict) isBad(byServer map[string]verdict) bool {
	failed, slow := talliesOf(byServer)
	return v.failed.isBad() && showsWithoutWorst(failed) || v.slow.isBad() && showsWithoutWorst(slow)
}

// showsWithoutWorst reports whether the servers have too many bad answers without the one that has the
// most beyond those expected.
func showsWithoutWorst(servers []tally) bool {
	var total, worst tally
	for _, t := range servers {
		total.add(t)
		if t.bad-t.expected > worst.bad-worst.expected {
			worst = t
		}
	}
	others := total.minus(worst)
	return len(servers) < 2 || logLikelihoodRatio(others.bad, others.n, others.slackRate(others.atMost)) >= othersLLR
}

// whyBad returns the reason why the version is bad; "": there is no evidence for that.
func (c *comparison) whyBad() string {
	if c.all.isBad(c.allByServer) {
		return "all routes: " + c.all.String()
	}
	for _, cell := range slices.SortedFunc(maps.Keys(c.cells), Cell.compare) {
		v := c.cells[cell]
		if v.isBad(c.byServer[cell]) {
			return fmt.Sprintf("route %s, measure %d: %v", cell.Route, cell.Measure, v)
		}
	}
	return ""
}

func countOf(times map[uint8]int) int {
	n := 0
	for _, c := range times {
		n += c
	}
	return n
}

func countFrom(times map[uint8]int, from int) int {
	n := 0
	for b, c := range times {
		if int(b) >= from {
			n += c
		}
	}
	return n
}

func medianBucket(times map[uint8]int) int {
	half, n := (countOf(times)+1)/2, 0
	for _, b := range slices.Sorted(maps.Keys(times)) {
		if n += times[b]; n >= half {
			return int(b)
		}
	}
	return 0
}
