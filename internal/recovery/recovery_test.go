package recovery

import (
	"testing"
	"time"
)

var start = time.Unix(1_000_000, 0)

// streams feeds events of n streams of one engine, each gap apart, until end.
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

// suspectedAfter returns the silence after which Check first suspects the engine.
func suspectedAfter(t *testing.T, d *Detector, s *Stream, from time.Time, each func(time.Time)) time.Duration {
	t.Helper()
	for now := from; now.Before(from.Add(time.Minute)); now = now.Add(10 * time.Millisecond) {
		if each != nil {
			each(now)
		}
		if suspect, again := d.Check(s, now); suspect {
			return now.Sub(from)
		} else if again <= 0 || again > maxRecheckInterval {
			t.Fatalf("got a recheck after %s, want it above zero and within maxRecheckInterval", again)
		}
	}
	return time.Minute
}

// Guards against one fixed timeout for all silent streams. The time until an engine is
// suspected depends on what its other streams and its polls show.
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
		{"all streams silent, extra work tolerates a pause of 2 s", ExtraWork, func(d *Detector) time.Duration {
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
		{"queued behind others, not dead", ResumeLatency, func(d *Detector) time.Duration {
			all := streams(d, "e", 10, 20*time.Millisecond, end)
			queued := d.Begin("e", end)
			return suspectedAfter(t, d, queued, end, func(now time.Time) {
				for _, s := range all {
					d.Event(s, now)
				}
			})
		}, minQueuedWait, time.Minute},
		{"queued alone on an engine that answers polls", ResumeLatency, func(d *Detector) time.Duration {
			return suspectedAfter(t, d, d.Begin("e", end), end, func(now time.Time) { d.Polled("e", now) })
		}, minQueuedWait, time.Minute},
		{"no sign of life at all", ExtraWork, func(d *Detector) time.Duration {
			return suspectedAfter(t, d, d.Begin("e", end), end, nil)
		}, time.Second, maxFirstTokenWait},
		{"a slow engine is judged by its own gaps", ResumeLatency, func(d *Detector) time.Duration {
			s := d.Begin("e", start)
			now := start
			for n := range 100 {
				now = now.Add(time.Duration(400+300*(n%2)) * time.Millisecond)
				d.Event(s, now)
			}
			return suspectedAfter(t, d, s, now, nil)
		}, 1500 * time.Millisecond, 2 * time.Second},
		{"an engine with irregular gaps is bounded by the ceiling", ResumeLatency, func(d *Detector) time.Duration {
			s := d.Begin("e", start)
			now := start
			for n := range 100 {
				now = now.Add(time.Duration(100+900*(n%2)) * time.Millisecond)
				d.Event(s, now)
			}
			return suspectedAfter(t, d, s, now, nil)
		}, 2 * time.Second, 2100 * time.Millisecond},
		{"budget used up, ceiling only", ResumeLatency, func(d *Detector) time.Duration {
			d.SetCeilingOnly(true)
			return suspectedAfter(t, d, streams(d, "e", 10, 20*time.Millisecond, end)[0], end, nil)
		}, 2 * time.Second, 2100 * time.Millisecond},
	}
	for _, c := range cases {
		if got := c.run(NewDetector(PolicyOf(c.objective))); got < c.low || got > c.high {
			t.Errorf("%s: got suspicion after %s, want %s to %s", c.name, got, c.low, c.high)
		}
	}
}

// Guards against suspicion of all engines after a local pause: this VM is paused for five
// seconds, and its timers fire before it has read what the engines sent meanwhile.
func TestLocalPauseRaisesNoSuspicion(t *testing.T) {
	end := start.Add(5 * time.Second)
	d := NewDetector(PolicyOf(ResumeLatency))
	all := streams(d, "e", 4, 20*time.Millisecond, end)
	d.Check(all[0], end)
	back := end.Add(5 * time.Second)
	for _, s := range all {
		if suspect, _ := d.Check(s, back); suspect {
			t.Fatal("got suspicion at once after a local pause, want none")
		}
	}
	if after := suspectedAfter(t, d, all[0], back, nil); after > 2*time.Second {
		t.Errorf("got suspicion %s after the local pause, want at most 2s", after)
	}
}

func TestWorthMoving(t *testing.T) {
	for _, c := range []struct {
		name          string
		slowness      float64
		left, prefill int
		want          bool
	}{
		{"loaded, not slow", 1.8, 4000, 1000, false},
		{"slow, minutes left", 8, 4000, 1000, true},
		{"slow, nearly done", 8, 5, 1000, false},
		{"slow, little left after a huge prompt", 4, 100, 100_000, false},
	} {
		if got := WorthMoving(c.slowness, c.left, c.prefill); got != c.want {
			t.Errorf("%s: got WorthMoving %v, want the opposite", c.name, got)
		}
	}
}

// Guards against a stall of the surviving engines: forty streams of a dead engine would
// prefill 200,000 tokens there at once. They must start at the engines' pace, the earliest
// deadline first, and none may be delayed beyond maxResumeDelay.
func TestResumesArePacedByDeadline(t *testing.T) {
	p := &Pacer{}
	p.SetEngines(4, 1)
	var all []*Resume
	for n := range 40 {
		r := &Resume{Prefill: 5000, Deadline: start.Add(time.Duration(40-n) * time.Second)}
		all = append(all, r)
		p.Enqueue(r, start)
	}
	granted := 0
	for p.Next(start) != nil {
		granted++
	}
	if granted != 4 {
		t.Fatalf("got %d resumes at once on 4 engines, want 4", granted)
	}
	if !all[39].Granted() || all[0].Granted() {
		t.Error("the resume with the earliest deadline was not granted first")
	}
	p.Release(all[39])
	if r := p.Next(start); r != all[35] {
		t.Error("a released resume did not let the next one start")
	}
	for p.Next(start.Add(maxResumeDelay)) != nil {
		granted++
	}
	if p.Waiting() != 0 {
		t.Errorf("got %d resumes delayed beyond %s, want none", p.Waiting(), maxResumeDelay)
	}
	for _, r := range all {
		p.Release(r)
		p.Release(r)
	}
	if p.inFlightTokens != 0 {
		t.Errorf("got %d tokens in flight after all resumes were released, want 0", p.inFlightTokens)
	}
}

func TestResumeLargerThanLimitIsGranted(t *testing.T) {
	p := &Pacer{}
	p.SetEngines(1, 11)
	p.Enqueue(&Resume{Prefill: 1 << 20}, start)
	if p.Next(start) == nil {
		t.Error("a resume larger than the limit was not granted")
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
	if most := int(0.05*10_000_000) + budgetBurstTokens + 500; spent > most {
		t.Errorf("got %d tokens spent, want at most %d", spent, most)
	}
	if NewBudget(0).Spend(1) {
		t.Error("a budget with share 0 allowed spending")
	}
}

func (p *PoisonSuspicion) recordDeaths(engine string, at time.Time, digests ...uint64) {
	for _, d := range digests {
		p.EngineDied(Death{Digest: d, Engine: engine, At: at}, 0)
	}
}

// Guards against a request that crashes one engine after another, and against the refusal of
// harmless requests that ran beside it. Engine e1 dies while it runs seven requests, and all
// of them become suspects. The harmless ones generate clearingTokens on other engines, which
// is past the token at which e1 died, and are cleared. The bad one is running when engine e2
// dies, and is refused until the suspicion expires. Requests are known by the digest of
// their content, which makes a repeat under a new request id a suspect as well.
func TestPoisonIsRefusedAfterTwoEngines(t *testing.T) {
	p := NewPoisonSuspicion()
	const bad = 7
	p.recordDeaths("e1", start, 1, 2, 3, 4, 5, 6, bad)
	for d := uint64(1); d <= bad; d++ {
		if got := p.Standing(d, start); got != Suspect {
			t.Fatalf("request %d after one death: got standing %v, want Suspect", d, got)
		}
	}
	later := start.Add(10 * time.Second)
	for d := uint64(1); d < bad; d++ {
		if !p.NoteProgress(d, clearingTokens) || p.Standing(d, later) != Innocent {
			t.Errorf("request %d generated clearingTokens tokens on another engine and was not cleared", d)
		}
	}
	p.recordDeaths("e2", later, bad)
	if got := p.Standing(bad, later); got != Poison {
		t.Fatalf("after two engines: got standing %v, want Poison", got)
	}
	if p.NoteProgress(bad, 1000) {
		t.Error("a late event cleared a poison request")
	}
	if got := p.Standing(bad, later.Add(suspicionTTL+time.Second)); got != Innocent {
		t.Errorf("after suspicionTTL: got standing %v, want Innocent", got)
	}
}

// Guards against the refusal of a long answer under which two engines die in a row. It ran
// for minutes on the second engine, so it cannot be what killed both.
func TestSecondDeathAfterProgressIsNotPoison(t *testing.T) {
	p := NewPoisonSuspicion()
	p.EngineDied(Death{Digest: 1, Engine: "e1", At: start}, 500)
	if got := p.EngineDied(Death{Digest: 1, Engine: "e2", At: start.Add(time.Minute)}, 300); got != Suspect {
		t.Errorf("got standing %v, want Suspect", got)
	}
}

// Guards against refusals after the loss of a zone: eight engines die within two seconds,
// and some streams had just been moved from one of them to another.
func TestCommonCauseIsNotPoison(t *testing.T) {
	p := NewPoisonSuspicion()
	for n := range 8 {
		at := start.Add(time.Duration(n) * 200 * time.Millisecond)
		p.recordDeaths([]string{"a", "b", "c", "d", "e", "f", "g", "h"}[n], at, uint64(n), uint64(n+1))
	}
	for d := range uint64(9) {
		if got := p.Standing(d, start.Add(2*time.Second)); got == Poison {
			t.Errorf("got Poison for request %d after the loss of a zone, want Innocent or Suspect", d)
		}
	}
}

// Guards against a poison request that passes for a common cause: the same content is sent
// under several ids at once and takes down one engine each. It ran on all of them.
func TestPoisonUnderSeveralIDsIsFound(t *testing.T) {
	p := NewPoisonSuspicion()
	for n := range 4 {
		p.recordDeaths([]string{"a", "b", "c", "d"}[n], start.Add(time.Duration(n)*100*time.Millisecond), 7, uint64(100+n))
	}
	if got := p.Standing(7, start.Add(time.Second)); got != Poison {
		t.Errorf("got standing %v for the common request, want Poison", got)
	}
	if got := p.Standing(101, start.Add(time.Second)); got != Innocent {
		t.Errorf("got standing %v for a request beside it, want Innocent", got)
	}
}

func TestPoisonSuspicionIsBounded(t *testing.T) {
	p := NewPoisonSuspicion()
	for n := range maxSuspects + 20 {
		p.add(Death{Digest: uint64(n), Engine: "e", At: start.Add(time.Duration(n) * time.Millisecond)}, 0)
		if len(p.byDigest) > maxSuspects {
			t.Fatal("more than maxSuspects requests are recorded")
		}
	}
}
