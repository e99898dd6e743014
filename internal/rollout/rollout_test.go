package rollout

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

func stateAt(r Record) *State { return &State{Records: map[string]Record{"desk": r}} }

// Guards against a request that is sent to a version that its phase does not allow.
func TestChoose(t *testing.T) {
	at := func(phase Phase, from string, barred ...string) Record {
		return Record{Order: toV2, Number: 3, Phase: phase, DefaultShare: 0.1, From: from, Barred: barred}
	}
	tests := []struct {
		name   string
		state  *State
		draw   float64
		only   string
		except []string
		target bool
	}{
		{"no roll-out", &State{}, 0, "", nil, false},
		{"the trial's share", stateAt(at(Trial, "")), 0.05, "v2", nil, true},
		{"the former version", stateAt(at(Trial, "")), 0.5, "", []string{"v2"}, false},
		{"the former version, after an earlier roll-out", stateAt(at(Trial, "v1")), 0.5, "v1", nil, false},
		{"the former version, after a reverted roll-out", stateAt(at(Trial, "", "v0")), 0.5, "", []string{"v0", "v2"}, false},
		{"switched", stateAt(at(Switching, "")), 0.5, "v2", nil, true},
		{"switched, former version for comparison", stateAt(at(Switching, "v1")), 0.95, "v1", nil, false},
		{"moving", stateAt(at(Moving, "v1")), 0.99, "v2", nil, true},
		{"completed", stateAt(at(Completed, "v1")), 0.99, "v2", nil, false},
		{"reverted", stateAt(at(Reverted, "")), 0, "", []string{"v2"}, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := tt.state.Choose("desk", "book", tt.draw)
			if c.Only != tt.only || len(c.Except) != len(tt.except) || c.Target != tt.target {
				t.Errorf("got choice %+v, want the versions and target of the test case", c)
			}
			for i, v := range tt.except {
				if c.Except[i] != v {
					t.Errorf("got except %v, want %v", c.Except, tt.except)
				}
			}
			if !tt.state.Allows("desk", c) {
				t.Error("the choice is not allowed in the same state")
			}
		})
	}
}

// Guards against a request that waits while a version is reverted, or while the others end,
// and is sent to that version afterwards.
func TestOutdatedChoice(t *testing.T) {
	onTrial := Record{Order: toV2, Number: 1, Phase: Trial, DefaultShare: 0.5}
	toNew, toOld := stateAt(onTrial).Choose("desk", "book", 0), stateAt(onTrial).Choose("desk", "book", 0.9)
	tests := []struct {
		phase    Phase
		new, old bool
	}{
		{Trial, true, true},
		{Switching, true, true},
		{Moving, true, false},
		{Completed, true, false},
		{Reverted, false, false}, // the choice of the former version might fall back to the new one
	}
	for _, tt := range tests {
		now := onTrial
		now.Phase = tt.phase
		s := stateAt(now)
		if s.Allows("desk", toNew) != tt.new || s.Allows("desk", toOld) != tt.old {
			t.Errorf("%v: got new version allowed %v, former %v, want as in the test case", tt.phase, s.Allows("desk", toNew), s.Allows("desk", toOld))
		}
		for _, c := range []Choice{toNew, toOld} {
			if back := s.Fallback("desk", c); !s.Allows("desk", c) && !s.Allows("desk", back) {
				t.Errorf("%v: the fallback of %+v is %+v, which is not allowed either", tt.phase, c, back)
			}
		}
	}
}

// Guards against a trial share that depends on messages. However many routers there are,
// they send a version on trial its share and no more without hearing of one another.
func TestTrialNeedsNoMessages(t *testing.T) {
	const routers, each = 300, 40
	rng := rand.New(rand.NewPCG(1, 2))
	sent := 0
	for range routers {
		s := stateAt(Record{Order: toV2, Number: 1, Phase: Trial, DefaultShare: initialShare})
		for range each {
			if s.Choose("desk", "book", rng.Float64()).Target {
				sent++
			}
		}
	}
	all := float64(routers * each)
	if allowed := DefaultLimits.Share*all + DefaultLimits.Slack; float64(sent) > allowed || math.Abs(float64(sent)-initialShare*all) > 100 {
		t.Errorf("got %d of %.0f requests sent to the new version, want about the initial share and at most %.0f", sent, all, allowed)
	}
}

// Guards against reports that are counted wrongly: messages are lost, repeated and
// reordered between routers and a control VM, and a router ends.
func TestEvidence(t *testing.T) {
	now := time.Unix(100, 0)
	clock := func() time.Time { return now }
	c := Choice{Versions: Versions{Only: "v2"}, Number: 1, Target: true}
	old := Choice{Versions: Versions{Except: []string{"v2"}}, Number: 1}
	a, b := NewRecorder(clock), NewRecorder(clock)
	for _, recorder := range []*Recorder{a, b} {
		recorder.Watch(map[string]uint64{"desk": 1})
	}
	answer := func(recorder *Recorder, c Choice, failed bool) {
		recorder.Request("desk", "book", c)
		recorder.Sent("desk", c)
		run := recorder.Begin("desk", "book", c, "i1")
		now = now.Add(10 * time.Millisecond)
		recorder.End(run, failed, false)
	}
	answer(a, c, true)
	early := a.Reports()
	answer(a, c, false)
	answer(a, old, false)
	answer(b, c, true)
	waiting := b.Begin("desk", "book", c, "i2")
	now = now.Add(time.Second)
	l := NewLedger()
	l.Note(1, a.Reports(), now)
	l.Note(1, early, now)
	l.Note(1, a.Reports(), now)
	l.Note(2, b.Reports(), now)
	cell := Cell{Route: "book"}
	e := l.Sum("desk", 1, now)
	target := e.Target[cell].without("")
	if e.Sent != 3 || e.Requests["book"] != 4 || target.Answers != 3 || target.Failures != 2 || e.Former[cell].without("").Answers != 1 {
		t.Errorf("got evidence %+v, want 3 sent, 4 requests, 3 answers with 2 failures, 1 former answer", e)
	}
	if countOf(target.Waiting) != 1 {
		t.Errorf("got waiting %v, want one request", target.Waiting)
	}
	// After a router has ended, its sent requests still count, its waiting ones do not.
	e = l.Sum("desk", 1, now.Add(2*waitingTTL))
	if e.Sent != 3 || countOf(e.Target[cell].without("").Waiting) != 0 {
		t.Errorf("after the end of the router: got %+v, want 3 sent and none waiting", e)
	}
	b.Drop(waiting)
	if reports := b.Reports(); len(reports) != 1 || reports[0].Rows[0].Counts.Answers != 1 {
		t.Errorf("after a dropped request: got %+v, want one answer", reports)
	}
	l.Keep(map[string]uint64{"desk": 2})
	if e := l.Sum("desk", 1, now); e.Sent != 0 {
		t.Errorf("after a newer roll-out began: got %+v, want no evidence", e)
	}
	a.Watch(nil)
	if reports := a.Reports(); reports != nil {
		t.Errorf("without a roll-out under way: got %+v, want no report", reports)
	}
}

// Guards against a good version that is reverted because its evidence came late and the
// switch had no time left.
func TestLateSwitchIsFinished(t *testing.T) {
	r := Record{Order: Order{Service: "desk", To: "v2", Duration: 15 * time.Second}, Number: 1, Phase: Switching}
	j := NewJudge(DefaultLimits, 1)
	e := NewEvidence()
	good := Counts{Answers: 40, Times: map[uint8]int{20: 40}}
	for at := time.Duration(0); at < r.Duration; at += 100 * time.Millisecond {
		if at == intervalLength {
			e = NewEvidence()
			e.Requests["book"] = 80
			e.Former[Cell{Route: "book"}] = CountsByServer{"a": good}
			e.Target[Cell{Route: "book"}] = CountsByServer{"b": good}
			e.Sent = 40
		}
		s, ok := j.Evaluate(&r, &e, View{Elapsed: at, Step: at - 13*time.Second, TargetServers: 3, FormerServers: 3})
		if !ok || at < 13*time.Second {
			continue
		}
		if s.Phase == Reverted {
			t.Fatalf("at %v: got step %+v, want no revert", at, s)
		}
		if r.Phase = s.Phase; r.Phase == Completed {
			return
		}
	}
	t.Errorf("got phase %v at the end, want Completed", r.Phase)
}

// Guards against a version that counts as slow because a busy VM delayed some answers of a
// few milliseconds.
func TestDelayedShortAnswersAreNotSlow(t *testing.T) {
	times := func(short, long int, late time.Duration) Counts {
		return Counts{Answers: short + long, Times: map[uint8]int{bucketOf(5 * time.Millisecond): short, bucketOf(late): long}}
	}
	tests := []struct {
		late time.Duration
		slow bool
	}{{15 * time.Millisecond, false}, {40 * time.Millisecond, true}}
	for _, tt := range tests {
		former := times(100, 0, 0)
		e := expect(former, former)
		v := e.judge(times(80, 20, tt.late))
		if v.slow.isBad() != tt.slow {
			t.Errorf("a fifth of the answers after %v: got verdict %v, want the opposite on slowness", tt.late, &v)
		}
	}
}

// Guards against streams that are cut off by the completion of a roll-out, because the servers of
// their version end, and against a completion that never comes.
func TestCompletionAwaitsStreams(t *testing.T) {
	const end = 15 * time.Second
	tests := []struct {
		name    string
		streams map[string]int // under way from the start of the step
		until   time.Duration  // when those of v1 end; 0: they do not
		least   time.Duration  // of the step until the completion
		most    time.Duration
	}{
		{"none", nil, 0, streamMoveTime, streamMoveTime + time.Second/2},
		{"of the new version", map[string]int{"v2": 5}, 0, streamMoveTime, streamMoveTime + time.Second/2},
		{"of another version", map[string]int{"v1": 2, "v2": 5}, 3 * time.Second, 3 * time.Second, 3500 * time.Millisecond},
		{"that do not end", map[string]int{"v1": 2}, 0, 4 * time.Second, 5 * time.Second},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			r := Record{Order: Order{Service: "desk", To: "v2", Duration: end}, Number: 1, Phase: Moving}
			j := NewJudge(DefaultLimits, 1)
			const movedAt = 10 * time.Second
			for at := movedAt; at < end; at += 100 * time.Millisecond {
				e := NewEvidence()
				e.Former[Cell{Route: "book", Measure: Pace}] = CountsByServer{"a": {Answers: 10}}
				for version, n := range tt.streams {
					if version != "v1" || tt.until == 0 || at-movedAt < tt.until {
						e.Streams[version] = n
					}
				}
				s, ok := j.Evaluate(&r, &e, View{Elapsed: at, Step: at - movedAt, InForce: true, TargetServers: 3, FormerServers: 3})
				if !ok || s.Phase != Completed {
					continue
				}
				if step := at - movedAt; step < tt.least || step > tt.most {
					t.Errorf("completed %v after requests moved, want %v to %v", step, tt.least, tt.most)
				}
				return
			}
			t.Error("the roll-out is not completed")
		})
	}
}

// Guards against streams of a router that is gone, which would hold a roll-out up, and against
// streams that are not counted.
func TestStreamsUnderWay(t *testing.T) {
	now := time.Unix(1000, 0)
	r := NewRecorder(func() time.Time { return now })
	endBefore := r.StreamSent("desk", "v1")
	r.Watch(map[string]uint64{"desk": 1})
	r.StreamSent("desk", "v2")
	r.StreamSent("other", "v1")
	l := NewLedger()
	l.Note(1, r.Reports(), now)
	if e := l.Sum("desk", 1, now); e.otherStreams("v2") != 1 || e.otherStreams("v1") != 1 {
		t.Errorf("got streams %v, want one of each version", e.Streams)
	}
	if e := l.Sum("desk", 1, now.Add(waitingTTL+time.Second)); e.otherStreams("v2") != 0 {
		t.Errorf("got streams %v of a silent router, want none", e.Streams)
	}
	now = now.Add(3 * time.Second)
	endBefore()
	l.Note(1, r.Reports(), now)
	if e := l.Sum("desk", 1, now); e.otherStreams("v2") != 0 || e.LongestStream != 3*time.Second {
		t.Errorf("got streams %v, the longest of %v; want none of v1 and 3 s", e.Streams, e.LongestStream)
	}
}
