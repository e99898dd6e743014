package rollout

import (
	"fmt"
	"maps"
	"slices"
	"time"
)

// How the answers of two versions are compared.
//
// The load pattern. Both versions run beside one another while zones are lost, callers
// come in bursts and single servers fail. Compared over the whole time, a version that
// got most of its requests during a burst is slower than one that did not. Compared by
// one server, a version is bad where that server is. Compared over all routes, a version
// that fails one of five routes fails two requests in a hundred.
//
// So each second's answers are held against those of the other version in the seconds
// around it, by route; a sum over the seconds is tested, for each route and for all, over
// the whole time and of late, without the one server that does worst on either side. What
// breaks off says nothing: engines that die break off what they run, whatever version
// they have.

const (
	// slotLength is the time whose answers are compared with one another.
	intervalLength = time.Second
	// recentSlots, and as many more as have recentAnswers, are tested by themselves: a
	// version may go bad after a long good time.
	minRecentIntervals   = 3
	minRecentAnswers = 24
	// priorWeight is how many answers of the whole time stand beside those of a moment.
	priorWeight = 10
	// slowBuckets above the other version's median an answer is slow, 2.4 times as long, if
	// it is leastSlow longer too: a busy VM delays short answers by as much.
	slowBuckets = bucketsPerOctave + 1
	minSlowExcess   = 20 * time.Millisecond
	// rateSlack and rateFloor: this much worse is no fault of the version.
	rateSlack = 1.25
	rateFloor = 0.005
	// badSurprise is the evidence that a version is bad: chance brings it about in less
	// than one of a thousand roll-outs, with some hundred looks at it.
	badLLR = 8
	// badAnswers are needed at least: what has failed twice may be chance.
	minBadAnswers = 3
	// oddSurprise is the evidence at which one server is told apart from its version.
	outlierLLR = 2
)

// slot is the answers of a moment.
type interval struct {
	former, target map[Cell]Servers
	// judged is the new version's part by server, once it and the slot behind it are over.
	judged map[Cell]map[string]verdict
}

// since returns the answers that have come between two sums.
func intervalBetween(now, before *Evidence) interval {
	return interval{former: increments(now.Former, before.Former), target: increments(now.Target, before.Target)}
}

func increments(now, before map[Cell]Servers) map[Cell]Servers {
	out := make(map[Cell]Servers, len(now))
	for cell, servers := range now {
		out[cell] = make(Servers, len(servers))
		for server, c := range servers {
			if was := before[cell][server]; c.Answers > was.Answers || len(c.Waiting) > 0 {
				out[cell][server] = c.minus(was)
			}
		}
	}
	return out
}

// settle forgets what waits, when the moment is over: it is in the next one, or answered.
func (s *interval) dropWaiting() {
	for _, cells := range []map[Cell]Servers{s.former, s.target} {
		for _, servers := range cells {
			for server, c := range servers {
				c.Waiting = nil
				servers[server] = c
			}
		}
	}
}

// answers of the new version.
func (s *interval) answers() int {
	n := 0
	for cell, servers := range s.target {
		if cell.Measure == Whole {
			for _, c := range servers {
				n += c.Answers
			}
		}
	}
	return n
}

// recent is how many of the last slots are judged by themselves.
func recentCount(slots []interval) int {
	answers := 0
	for n := 1; n <= len(slots); n++ {
		answers += slots[len(slots)-n].answers()
		if n >= minRecentIntervals && answers >= minRecentAnswers {
			return n
		}
	}
	return len(slots)
}

// tally counts bad answers against those expected.
type tally struct{ n, bad, expected float64 }

func (t *tally) add(o tally) {
	t.n += o.n
	t.bad += o.bad
	t.expected += o.expected
}

// expectedRate is that of the other version, with what is no fault of the new one.
func (t *tally) expectedRate() float64 {
	if t.n == 0 {
		return rateFloor
	}
	return min(rateSlack*t.expected/t.n+rateFloor, 1-rateFloor)
}

func (t *tally) isBad() bool {
	return t.bad >= minBadAnswers && t.llr() >= badLLR
}

// atMostWorseBy reports whether the version is worse by less than an excess of the rate,
// but for one time in chance.
func (t *tally) atMostWorseBy(excess, chance float64) bool {
	return binomialCDF(t.bad, t.n, t.expectedRate()+excess) <= chance
}

// verdict is the tallies of one cell.
type verdict struct{ failed, slow tally }

func (v *verdict) add(o *verdict) {
	v.failed.add(o.failed)
	v.slow.add(o.slow)
}

// minus takes a server's part off.
func (v *verdict) minus(o *verdict) verdict {
	less := func(a, b tally) tally { return tally{a.n - b.n, a.bad - b.bad, a.expected - b.expected} }
	return verdict{less(v.failed, o.failed), less(v.slow, o.slow)}
}

// String tells an operator what was found.
func (v *verdict) String() string {
	return fmt.Sprintf("%.0f of %.0f answers failed, %.1f expected; %.0f of %.0f slow, %.1f expected",
		v.failed.bad, v.failed.n, v.failed.expected, v.slow.bad, v.slow.n, v.slow.expected)
}

// comparison is the verdicts over some slots.
type comparison struct {
	cells map[Cell]*verdict // without the worst server, where there are several
	all   verdict           // of whole answers
}

// compare judges the last n slots. overall is the other version's answers of all slots.
func compare(slots []interval, n int, overall map[Cell]Servers) comparison {
	out := comparison{cells: map[Cell]*verdict{}}
	byServer := map[Cell]map[string]verdict{}
	for i := max(0, len(slots)-n); i < len(slots); i++ {
		judged := slots[i].judged
		if judged == nil {
			judged = judgeInterval(slots, i, overall)
		}
		for cell, servers := range judged {
			if byServer[cell] == nil {
				byServer[cell] = map[string]verdict{}
			}
			for server, v := range servers {
				sum := byServer[cell][server]
				sum.add(&v)
				byServer[cell][server] = sum
			}
		}
	}
	for _, cell := range slices.SortedFunc(maps.Keys(byServer), Cell.compare) {
		v := withoutWorst(byServer[cell])
		out.cells[cell] = &v
		if cell.Measure == Whole {
			out.all.add(&v)
		}
	}
	return out
}

// judgeSlot counts the new version's answers of a slot against what the other version
// did around it.
func judgeInterval(slots []interval, i int, overall map[Cell]Servers) map[Cell]map[string]verdict {
	out := map[Cell]map[string]verdict{}
	for cell, servers := range slots[i].target {
		faulty := faultyServer(overall[cell])
		near := sumFormer(slots[max(0, i-1):min(len(slots), i+2)], cell)
		e := expect(near.without(faulty), overall[cell].without(faulty))
		out[cell] = make(map[string]verdict, len(servers))
		for server, c := range servers {
			out[cell][server] = e.judge(c)
		}
	}
	return out
}

func sumFormer(slots []interval, cell Cell) Servers {
	sum := Servers{}
	for i := range slots {
		for server, c := range slots[i].former[cell] {
			sum.add(server, c)
		}
	}
	return sum
}

// without sums all servers but one.
func (s Servers) without(server string) Counts {
	var sum Counts
	for id, c := range s {
		if id != server {
			sum = sum.plus(c)
		}
	}
	return sum
}

// faultyOf names the server that fails far more often than the others; "": none does.
func faultyServer(s Servers) string {
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
		if v := logLikelihoodRatio(float64(c.Failures), float64(c.Answers), min(rate, 1-rateFloor)); v > most && v >= badLLR {
			faulty, most = id, v
		}
	}
	return faulty
}

// expectation is what the other version would have done.
type expectation struct {
	failed, slow float64
	slowFromBucket     int // bucket; 0: the other version's times are not known
}

func expect(near, overall Counts) expectation {
	e := expectation{failed: smoothedRate(near.Failures, near.Answers, overall.Failures, overall.Answers)}
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
	e.slow = smoothedRate(waiting+countFrom(near.Times, e.slowFromBucket), waiting+countOf(near.Times), countFrom(overall.Times, e.slowFromBucket), countOf(overall.Times))
	return e
}

// blend is a moment's rate, with some answers of the whole time beside it.
func smoothedRate(x, n, allX, all int) float64 {
	rate := 0.0
	if all > 0 {
		rate = float64(allX) / float64(all)
	}
	return (float64(x) + priorWeight*rate) / (float64(n) + priorWeight)
}

// judge counts one server's answers against the expectation.
func (e *expectation) judge(c Counts) verdict {
	n := float64(c.Answers)
	v := verdict{failed: tally{n: n, bad: float64(c.Failures), expected: n * e.failed}}
	if e.slowFromBucket > 0 {
		waiting := countFrom(c.Waiting, e.slowFromBucket) // slow already, whenever they are answered
		timed := float64(waiting + countOf(c.Times))
		v.slow = tally{n: timed, bad: float64(waiting + countFrom(c.Times, e.slowFromBucket)), expected: timed * e.slow}
	}
	return v
}

// withoutWorst sums all servers but the one that stands out most by its bad answers, if
// others have answered too.
func withoutWorst(byServer map[string]verdict) verdict {
	worst, most := "", float64(outlierLLR)
	var sum verdict
	for _, server := range slices.Sorted(maps.Keys(byServer)) {
		v := byServer[server]
		sum.add(&v)
		if v.llr() > most {
			worst, most = server, v.llr()
		}
	}
	if worst == "" || len(byServer) < 2 {
		return sum
	}
	v := byServer[worst]
	return sum.minus(&v)
}

func (v *verdict) llr() float64 { return max(v.failed.llr(), v.slow.llr()) }

func (t *tally) llr() float64 { return logLikelihoodRatio(t.bad, t.n, t.expectedRate()) }

// bad returns why the version is bad, "" where nothing says so.
func (c *comparison) whyBad() string {
	if c.all.failed.isBad() || c.all.slow.isBad() {
		return "all routes: " + c.all.String()
	}
	for _, cell := range slices.SortedFunc(maps.Keys(c.cells), Cell.compare) {
		v := c.cells[cell]
		if v.failed.isBad() || v.slow.isBad() {
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
