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
	slotLength = time.Second
	// recentSlots, and as many more as have recentAnswers, are tested by themselves: a
	// version may go bad after a long good time.
	recentSlots   = 3
	recentAnswers = 24
	// priorWeight is how many answers of the whole time stand beside those of a moment.
	priorWeight = 10
	// slowBuckets above the other version's median an answer is slow, 2.4 times as long, if
	// it is leastSlow longer too: a busy VM delays short answers by as much.
	slowBuckets = bucketsPerOctave + 1
	leastSlow   = 20 * time.Millisecond
	// rateSlack and rateFloor: this much worse is no fault of the version.
	rateSlack = 1.25
	rateFloor = 0.005
	// badSurprise is the evidence that a version is bad: chance brings it about in less
	// than one of a thousand roll-outs, with some hundred looks at it.
	badSurprise = 8
	// badAnswers are needed at least: what has failed twice may be chance.
	badAnswers = 3
	// oddSurprise is the evidence at which one server is told apart from its version.
	oddSurprise = 2
)

// slot is the answers of a moment.
type slot struct {
	former, target map[Cell]CountsByServer
	// judged is the new version's part by server, once it and the slot behind it are over.
	judged map[Cell]map[string]verdict
}

// since returns the answers that have come between two sums.
func since(now, before *Evidence) slot {
	return slot{former: newIn(now.Former, before.Former), target: newIn(now.Target, before.Target)}
}

func newIn(now, before map[Cell]CountsByServer) map[Cell]CountsByServer {
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

// settle forgets what waits, when the moment is over: it is in the next one, or answered.
func (s *slot) settle() {
	for _, cells := range []map[Cell]CountsByServer{s.former, s.target} {
		for _, servers := range cells {
			for server, c := range servers {
				c.Waiting = nil
				servers[server] = c
			}
		}
	}
}

// answers of the new version.
func (s *slot) answers() int {
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

// recent is how many of the last slots are judged by themselves.
func recent(slots []slot) int {
	answers := 0
	for n := 1; n <= len(slots); n++ {
		answers += slots[len(slots)-n].answers()
		if n >= recentSlots && answers >= recentAnswers {
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
	return t.bad >= badAnswers && t.surprise() >= badSurprise
}

// atMostWorseBy reports whether the version is worse by less than an excess of the rate,
// but for one time in chance.
func (t *tally) atMostWorseBy(excess, chance float64) bool {
	return atMost(t.bad, t.n, t.expectedRate()+excess) <= chance
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
func compare(slots []slot, n int, overall map[Cell]CountsByServer) comparison {
	out := comparison{cells: map[Cell]*verdict{}}
	byServer := map[Cell]map[string]verdict{}
	for i := max(0, len(slots)-n); i < len(slots); i++ {
		judged := slots[i].judged
		if judged == nil {
			judged = judgeSlot(slots, i, overall)
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
		if cell.Measure == Response {
			out.all.add(&v)
		}
	}
	return out
}

// judgeSlot counts the new version's answers of a slot against what the other version
// did around it.
func judgeSlot(slots []slot, i int, overall map[Cell]CountsByServer) map[Cell]map[string]verdict {
	out := map[Cell]map[string]verdict{}
	for cell, servers := range slots[i].target {
		faulty := faultyOf(overall[cell])
		near := formerOf(slots[max(0, i-1):min(len(slots), i+2)], cell)
		e := expect(near.without(faulty), overall[cell].without(faulty))
		out[cell] = make(map[string]verdict, len(servers))
		for server, c := range servers {
			out[cell][server] = e.judge(c)
		}
	}
	return out
}

func formerOf(slots []slot, cell Cell) CountsByServer {
	sum := CountsByServer{}
	for i := range slots {
		for server, c := range slots[i].former[cell] {
			sum.add(server, c)
		}
	}
	return sum
}

// without sums all servers but one.
func (s CountsByServer) without(server string) Counts {
	var sum Counts
	for id, c := range s {
		if id != server {
			sum = sum.plus(c)
		}
	}
	return sum
}

// faultyOf names the server that fails far more often than the others; "": none does.
func faultyOf(s CountsByServer) string {
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
		if v := surprise(float64(c.Failures), float64(c.Answers), min(rate, 1-rateFloor)); v > most && v >= badSurprise {
			faulty, most = id, v
		}
	}
	return faulty
}

// expectation is what the other version would have done.
type expectation struct {
	failed, slow float64
	slowFrom     int // bucket; 0: the other version's times are not known
}

func expect(near, overall Counts) expectation {
	e := expectation{failed: blend(near.Failures, near.Answers, overall.Failures, overall.Answers)}
	times := near.Times
	if sumOf(times) < priorWeight {
		times = overall.Times
	}
	if sumOf(times) == 0 {
		return e
	}
	median := medianOf(times)
	e.slowFrom = max(median+slowBuckets, int(bucketOf(timeOf(median)+leastSlow)))
	waiting := above(near.Waiting, e.slowFrom)
	e.slow = blend(waiting+above(near.Times, e.slowFrom), waiting+sumOf(near.Times), above(overall.Times, e.slowFrom), sumOf(overall.Times))
	return e
}

// blend is a moment's rate, with some answers of the whole time beside it.
func blend(x, n, allX, all int) float64 {
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
	if e.slowFrom > 0 {
		waiting := above(c.Waiting, e.slowFrom) // slow already, whenever they are answered
		timed := float64(waiting + sumOf(c.Times))
		v.slow = tally{n: timed, bad: float64(waiting + above(c.Times, e.slowFrom)), expected: timed * e.slow}
	}
	return v
}

// withoutWorst sums all servers but the one that stands out most by its bad answers, if
// others have answered too.
func withoutWorst(byServer map[string]verdict) verdict {
	worst, most := "", float64(oddSurprise)
	var sum verdict
	for _, server := range slices.Sorted(maps.Keys(byServer)) {
		v := byServer[server]
		sum.add(&v)
		if v.surprise() > most {
			worst, most = server, v.surprise()
		}
	}
	if worst == "" || len(byServer) < 2 {
		return sum
	}
	v := byServer[worst]
	return sum.minus(&v)
}

func (v *verdict) surprise() float64 { return max(v.failed.surprise(), v.slow.surprise()) }

func (t *tally) surprise() float64 { return surprise(t.bad, t.n, t.expectedRate()) }

// bad returns why the version is bad, "" where nothing says so.
func (c *comparison) bad() string {
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

func sumOf(times map[uint8]int) int {
	n := 0
	for _, c := range times {
		n += c
	}
	return n
}

func above(times map[uint8]int, from int) int {
	n := 0
	for b, c := range times {
		if int(b) >= from {
			n += c
		}
	}
	return n
}

func medianOf(times map[uint8]int) int {
	half, n := (sumOf(times)+1)/2, 0
	for _, b := range slices.Sorted(maps.Keys(times)) {
		if n += times[b]; n >= half {
			return int(b)
		}
	}
	return 0
}
