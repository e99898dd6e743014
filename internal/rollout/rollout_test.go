package rollout

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

func stateAt(r Record) *State { return &State{Records: map[string]Record{"desk": r}} }

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
		{"the others", stateAt(at(Trial, "")), 0.5, "", []string{"v2"}, false},
		{"the others, after an earlier roll-out", stateAt(at(Trial, "v1")), 0.5, "v1", nil, false},
		{"the others, after a reverted one", stateAt(at(Trial, "", "v0")), 0.5, "", []string{"v0", "v2"}, false},
		{"switched", stateAt(at(Switching, "")), 0.5, "v2", nil, true},
		{"to compare with", stateAt(at(Switching, "v1")), 0.95, "v1", nil, false},
		{"moving", stateAt(at(Moving, "v1")), 0.99, "v2", nil, true},
		{"completed", stateAt(at(Completed, "v1")), 0.99, "v2", nil, false},
		{"reverted", stateAt(at(Reverted, "")), 0, "", []string{"v2"}, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := tt.state.Choose("desk", "book", tt.draw)
			if c.Only != tt.only || len(c.Except) != len(tt.except) || c.Target != tt.target {
				t.Errorf("%+v", c)
			}
			for i, v := range tt.except {
				if c.Except[i] != v {
					t.Errorf("except %v, want %v", c.Except, tt.except)
				}
			}
			if !tt.state.Allows("desk", c) {
				t.Error("the choice is not allowed at once")
			}
		})
	}
}

// Guards against a request that waits while a version is reverted, or the others end, and
// is sent there after all.
func TestChoiceThatIsOutdated(t *testing.T) {
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
		{Reverted, false, false}, // the old choice might fall back to the new version
	}
	for _, tt := range tests {
		now := onTrial
		now.Phase = tt.phase
		s := stateAt(now)
		if s.Allows("desk", toNew) != tt.new || s.Allows("desk", toOld) != tt.old {
			t.Errorf("%v: new version %v, old %v", tt.phase, s.Allows("desk", toNew), s.Allows("desk", toOld))
		}
		for _, c := range []Choice{toNew, toOld} {
			if back := s.Fallback("desk", c); !s.Allows("desk", c) && !s.Allows("desk", back) {
				t.Errorf("%v: %+v is sent back to %+v", tt.phase, c, back)
			}
		}
	}
}

// Guards against a budget that hangs on messages: routers that hear nothing of one another
// send a version on trial its share and no more, however many they are.
func TestTrialNeedsNoMessages(t *testing.T) {
	const routers, each = 300, 40
	rng := rand.New(rand.NewPCG(1, 2))
	sent := 0
	for range routers {
		s := stateAt(Record{Order: toV2, Number: 1, Phase: Trial, DefaultShare: firstShare})
		for range each {
			if s.Choose("desk", "book", rng.Float64()).Target {
				sent++
			}
		}
	}
	all := float64(routers * each)
	if allowed := DefaultLimits.Share*all + DefaultLimits.Slack; float64(sent) > allowed || math.Abs(float64(sent)-firstShare*all) > 100 {
		t.Errorf("%d of %.0f requests, allowed %.0f", sent, all, allowed)
	}
}

// What a router tells and a control VM sums, with lost, repeated and overtaken messages
// and a router that ends.
func TestEvidence(t *testing.T) {
	now := time.Unix(100, 0)
	clock := func() time.Time { return now }
	c := Choice{Versions: Versions{Only: "v2"}, Number: 1, Target: true}
	old := Choice{Versions: Versions{Except: []string{"v2"}}, Number: 1}
	a, b := NewRecorder(clock), NewRecorder(clock)
	for _, book := range []*Recorder{a, b} {
		book.Watch(map[string]uint64{"desk": 1})
	}
	answer := func(book *Recorder, c Choice, failed bool) {
		book.Request("desk", "book", c)
		book.Sent("desk", c)
		run := book.Begin("desk", "book", c, "i1")
		now = now.Add(10 * time.Millisecond)
		book.End(run, failed, false)
	}
	answer(a, c, true)
	early := a.Reports()
	answer(a, c, false)
	answer(a, old, false)
	answer(b, c, true)
	waits := b.Begin("desk", "book", c, "i2")
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
		t.Errorf("%+v", e)
	}
	if sumOf(target.Waiting) != 1 {
		t.Errorf("waiting: %v", target.Waiting)
	}
	// The router ended: what it sent counts on, what it waited for does not.
	e = l.Sum("desk", 1, now.Add(2*waitingFor))
	if e.Sent != 3 || sumOf(e.Target[cell].without("").Waiting) != 0 {
		t.Errorf("after its end: %+v", e)
	}
	b.Drop(waits)
	if told := b.Reports(); len(told) != 1 || told[0].Rows[0].Counts.Answers != 1 {
		t.Errorf("dropped: %+v", told)
	}
	l.Keep(map[string]uint64{"desk": 2})
	if e := l.Sum("desk", 1, now); e.Sent != 0 {
		t.Errorf("of a former roll-out: %+v", e)
	}
	a.Watch(nil)
	if told := a.Reports(); told != nil {
		t.Errorf("nothing is under way: %+v", told)
	}
}

// Guards against a good version that is reverted since the evidence came late, and the
// switch had no time left.
func TestLateSwitchIsFinished(t *testing.T) {
	r := Record{Order: Order{Service: "desk", To: "v2", Duration: 15 * time.Second}, Number: 1, Phase: Switching}
	j := NewJudge(DefaultLimits, 1)
	e := NewEvidence()
	good := Counts{Answers: 40, Times: map[uint8]int{20: 40}}
	for at := time.Duration(0); at < r.Duration; at += 100 * time.Millisecond {
		if at == slotLength {
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
			t.Fatalf("at %v: %+v", at, s)
		}
		if r.Phase = s.Phase; r.Phase == Completed {
			return
		}
	}
	t.Errorf("no outcome: %v", r.Phase)
}

// Guards against a version that is taken for slow since a busy VM held some answers of a
// few milliseconds up.
func TestShortAnswersHeldUp(t *testing.T) {
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
			t.Errorf("a fifth of the answers after %v: %v", tt.late, &v)
		}
	}
}
