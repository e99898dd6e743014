package recovery

import (
	"testing"
	"time"
)

var start = time.Unix(1_000_000, 0)

// streams feeds events of n streams of one engine, gap apart, until end.
func streams(d *Detector, engine string, n int, gap time.Duration, end time.Time) []*Stream {
	var out []*Stream
	for range n {
		out = append(out, d.Begin(engine, start))
	}
	for now := start.Add(gap); !now.After(end); now = now.Add(gap) {
		for _, s := range out {
			d.Event(s, now)
		}
	}
	return out
}

// suspectedAfter is the silence at which Check first suspects.
func suspectedAfter(t *testing.T, d *Detector, s *Stream, from time.Time, each func(time.Time)) time.Duration {
	t.Helper()
	for now := from; now.Before(from.Add(time.Minute)); now = now.Add(10 * time.Millisecond) {
		if each != nil {
			each(now)
		}
		if suspect, again := d.Check(s, now); suspect {
			return now.Sub(from)
		} else if again <= 0 || again > recheck {
			t.Fatalf("check again after %s", again)
		}
	}
	return time.Minute
}

// What the caller of a silent stream waits before its answer moves on, by what
// the engine's other streams show.
func TestSuspicionFollowsTheEvidence(t *testing.T) {
	end := start.Add(5 * time.Second)
	cases := []struct {
		name      string
		objective Objective
		run       func(d *Detector) time.Duration
		low, high time.Duration
	}{
		{"all streams silent, latency", ResumeLatency, func(d *Detector) time.Duration {
			return suspectedAfter(t, d, streams(d, "e", 10, 20*time.Millisecond, end)[0], end, nil)
		}, 500 * time.Millisecond, time.Second},
		{"all streams silent, extra work: a pause of 2 s passes", ExtraWork, func(d *Detector) time.Duration {
			return suspectedAfter(t, d, streams(d, "e", 10, 20*time.Millisecond, end)[0], end, nil)
		}, 2100 * time.Millisecond, 4 * time.Second},
		{"one stream stalled beside others", ResumeLatency, func(d *Detector) time.Duration {
			all := streams(d, "e", 10, 20*time.Millisecond, end)
			return suspectedAfter(t, d, all[0], end, func(now time.Time) {
				for _, s := range all[1:] {
					d.Event(s, now)
				}
			})
		}, 2 * time.Second, 5 * time.Second},
		{"queued behind others: not dead", ResumeLatency, func(d *Detector) time.Duration {
			all := streams(d, "e", 10, 20*time.Millisecond, end)
			queued := d.Begin("e", end)
			return suspectedAfter(t, d, queued, end, func(now time.Time) {
				for _, s := range all {
					d.Event(s, now)
				}
			})
		}, queuedFloor, time.Minute},
		{"queued alone on an engine that answers polls", ResumeLatency, func(d *Detector) time.Duration {
			return suspectedAfter(t, d, d.Begin("e", end), end, func(now time.Time) { d.Polled("e", now) })
		}, queuedFloor, time.Minute},
		{"no sign of life at all", ExtraWork, func(d *Detector) time.Duration {
			return suspectedAfter(t, d, d.Begin("e", end), end, nil)
		}, time.Second, firstFloor},
		{"a slow engine's gaps are its own", ResumeLatency, func(d *Detector) time.Duration {
			s := d.Begin("e", start)
			now := start
			for n := range 100 {
				now = now.Add(time.Duration(400+300*(n%2)) * time.Millisecond)
				d.Event(s, now)
			}
			return suspectedAfter(t, d, s, now, nil)
		}, 1500 * time.Millisecond, 2 * time.Second},
		{"an engine with wild gaps: the ceiling holds", ResumeLatency, func(d *Detector) time.Duration {
			s := d.Begin("e", start)
			now := start
			for n := range 100 {
				now = now.Add(time.Duration(100+900*(n%2)) * time.Millisecond)
				d.Event(s, now)
			}
			return suspectedAfter(t, d, s, now, nil)
		}, 2 * time.Second, 2100 * time.Millisecond},
		{"budget used up: patient", ResumeLatency, func(d *Detector) time.Duration {
			d.SetCeilingOnly(true)
			return suspectedAfter(t, d, streams(d, "e", 10, 20*time.Millisecond, end)[0], end, nil)
		}, 2 * time.Second, 2100 * time.Millisecond},
	}
	for _, c := range cases {
		if got := c.run(NewDetector(PolicyOf(c.objective))); got < c.low || got > c.high {
			t.Errorf("%s: suspected after %s, want %s to %s", c.name, got, c.low, c.high)
		}
	}
}

// This VM stands still for five seconds. When it goes on, its timers fire
// before it has read what the engines sent meanwhile: none of them is suspected.
func TestOwnPauseIsNoSilenceOfTheEngines(t *testing.T) {
	end := start.Add(5 * time.Second)
	d := NewDetector(PolicyOf(ResumeLatency))
	all := streams(d, "e", 4, 20*time.Millisecond, end)
	d.Check(all[0], end)
	back := end.Add(5 * time.Second)
	for _, s := range all {
		if suspect, _ := d.Check(s, back); suspect {
			t.Fatal("suspected at once after the VM's own pause")
		}
	}
	if after := suspectedAfter(t, d, all[0], back, nil); after > 2*time.Second {
		t.Errorf("a silence after the pause was noticed after %s", after)
	}
}

func TestMoveOffASlowEnginePaysOff(t *testing.T) {
	for _, c := range []struct {
		name          string
		slowness      float64
		left, prefill int
		want          bool
	}{
		{"full, not slow", 1.8, 4000, 1000, false},
		{"slow, minutes left", 8, 4000, 1000, true},
		{"slow, nearly done", 8, 5, 1000, false},
		{"slow, little left behind a huge prompt", 4, 100, 100_000, false},
	} {
		if got := WorthMoving(c.slowness, c.left, c.prefill); got != c.want {
			t.Errorf("%s: %v", c.name, got)
		}
	}
}

// Forty streams of a dead engine would prefill 200,000 tokens on the survivors
// at once and stall every stream there. They start as the survivors manage, the
// earliest deadline first, and none is held for long.
func TestResumesArePacedByDeadline(t *testing.T) {
	p := &Pacer{}
	p.SetEngines(4, 1)
	var all []*Resume
	for n := range 40 {
		r := &Resume{Prefill: 5000, Deadline: start.Add(time.Duration(40-n) * time.Second)}
		all = append(all, r)
		p.Enqueue(r, start)
	}
	underway := 0
	for p.Next(start) != nil {
		underway++
	}
	if underway != 4 {
		t.Fatalf("%d resumes at once on 4 engines", underway)
	}
	if !all[39].Granted() || all[0].Granted() {
		t.Error("the earliest deadline did not go first")
	}
	p.Release(all[39])
	if r := p.Next(start); r != all[35] {
		t.Error("an ended resume did not let the next one start")
	}
	for p.Next(start.Add(maxHold)) != nil {
		underway++
	}
	if p.Waiting() != 0 {
		t.Errorf("%d resumes held beyond %s", p.Waiting(), maxHold)
	}
	for _, r := range all {
		p.Release(r)
		p.Release(r)
	}
	if p.underway != 0 {
		t.Errorf("%d tokens under way after the end", p.underway)
	}
}

func TestOneHugeResumeIsNotHeldForever(t *testing.T) {
	p := &Pacer{}
	p.SetEngines(1, 11)
	p.Enqueue(&Resume{Prefill: 1 << 20}, start)
	if p.Next(start) == nil {
		t.Error("a resume larger than the limit never starts")
	}
}

func TestBudgetBoundsWorkToAShare(t *testing.T) {
	b := NewBudget(0.05)
	spent := 0
	for range 10_000 {
		b.Earn(1000)
		if b.Spend(500) {
			spent += 500
		}
	}
	if most := int(0.05*10_000_000) + budgetBurst + 500; spent > most {
		t.Errorf("%d tokens spent, most %d", spent, most)
	}
	if NewBudget(0).Spend(1) {
		t.Error("a budget of nothing was spent")
	}
}

func (b *PoisonSuspicion) dies(engine string, at time.Time, digests ...uint64) {
	for _, d := range digests {
		b.EngineDied(Death{Digest: d, Engine: engine, At: at}, 0)
	}
}

// A caller's request crashes the engine it runs on, with nineteen innocent ones
// beside it. All twenty are suspects once. The innocent ones run past the point
// on other engines and are cleared; the bad one takes down a second engine, and
// then it is refused, also under new ids, until the blame expires.
func TestPoisonIsRefusedAfterTwoEnginesAndInnocentsNever(t *testing.T) {
	b := NewPoisonSuspicion()
	const bad = 7
	b.dies("e1", start, 1, 2, 3, 4, 5, 6, bad)
	for d := uint64(1); d <= bad; d++ {
		if got := b.Standing(d, start); got != Suspect {
			t.Fatalf("request %d after one death: %v", d, got)
		}
	}
	later := start.Add(10 * time.Second)
	for d := uint64(1); d < bad; d++ {
		if !b.NoteProgress(d, passedTokens) || b.Standing(d, later) != Innocent {
			t.Errorf("request %d ran past the death and is not cleared", d)
		}
	}
	b.dies("e2", later, bad)
	if got := b.Standing(bad, later); got != Poison {
		t.Fatalf("after two engines: %v", got)
	}
	if b.NoteProgress(bad, 1000) {
		t.Error("poison cleared by a late event")
	}
	if got := b.Standing(bad, later.Add(blameLife+time.Second)); got != Innocent {
		t.Errorf("blame did not expire: %v", got)
	}
}

// Two engines die in a row under one long answer. It had gone on for minutes on
// the second one, so it is not what killed both.
func TestSecondDeathFarBehindTheFirstIsNoPoison(t *testing.T) {
	b := NewPoisonSuspicion()
	b.EngineDied(Death{Digest: 1, Engine: "e1", At: start}, 500)
	if got := b.EngineDied(Death{Digest: 1, Engine: "e2", At: start.Add(time.Minute)}, 300); got != Suspect {
		t.Errorf("got %v", got)
	}
}

// A zone is lost: eight engines die within two seconds, and some streams had
// just been moved from one of them to another. Nobody is to blame.
func TestCommonCauseBlamesNobody(t *testing.T) {
	b := NewPoisonSuspicion()
	for n := range 8 {
		at := start.Add(time.Duration(n) * 200 * time.Millisecond)
		b.dies([]string{"a", "b", "c", "d", "e", "f", "g", "h"}[n], at, uint64(n), uint64(n+1))
	}
	for d := range uint64(9) {
		if got := b.Standing(d, start.Add(2*time.Second)); got == Poison {
			t.Errorf("request %d is refused for a lost zone", d)
		}
	}
}

// The same bad content comes under ten ids at once and takes down an engine
// each. That is no common cause: it was on all of them.
func TestPoisonSentManyTimesAtOnceIsStillFound(t *testing.T) {
	b := NewPoisonSuspicion()
	for n := range 4 {
		b.dies([]string{"a", "b", "c", "d"}[n], start.Add(time.Duration(n)*100*time.Millisecond), 7, uint64(100+n))
	}
	if got := b.Standing(7, start.Add(time.Second)); got != Poison {
		t.Errorf("the common request is %v", got)
	}
	if got := b.Standing(101, start.Add(time.Second)); got != Innocent {
		t.Errorf("its neighbour is %v", got)
	}
}

func TestBlameIsBounded(t *testing.T) {
	b := NewPoisonSuspicion()
	for n := range maxBlamed + 20 {
		b.add(Death{Digest: uint64(n), Engine: "e", At: start.Add(time.Duration(n) * time.Millisecond)}, 0)
		if len(b.byDigest) > maxBlamed {
			t.Fatal("more than the bound")
		}
	}
}
