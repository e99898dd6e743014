package rollout

import (
	"reflect"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/amaranthshelf/amaranthshelf/internal/codec"
)

var toV2 = Order{Service: "desk", To: "v2", Duration: 12 * time.Second}

// apply executes a command as the log does.
func apply(t interface{ Fatal(...any) }, m *StateMachine, atMS int64, c Command) Reply {
	data, err := codec.Marshal(c)
	if err != nil {
		t.Fatal(err)
	}
	var out Reply
	if err := codec.Unmarshal(m.Apply(atMS, data), &out); err != nil {
		t.Fatal(err)
	}
	return out
}

func stepTo(n uint64, phase Phase) Command {
	return Command{Step: &Step{Service: "desk", Number: n, Phase: phase}}
}

// Guards against an order that is executed twice, or that replaces a roll-out under way.
func TestOrders(t *testing.T) {
	v3 := Order{Service: "desk", To: "v3", Duration: time.Second}
	longer := Order{Service: "desk", To: "v2", Duration: time.Minute}
	toEnd := []Command{stepTo(1, Switching), stepTo(1, Moving), stepTo(1, Completed)}
	tests := []struct {
		name   string
		before []Command
		atMS   int64
		order  Order
		want   Outcome
		phase  Phase
	}{
		{"the first", nil, 0, toV2, Accepted, Trial},
		{"again while it is under way", []Command{{Order: &toV2}}, 60_000, toV2, Repeated, Trial},
		{"another version meanwhile", []Command{{Order: &toV2}}, 0, v3, Busy, Trial},
		{"another duration meanwhile", []Command{{Order: &toV2}}, 0, longer, Busy, Trial},
		{"again once it is completed", append([]Command{{Order: &toV2}}, toEnd...), 90_000, toV2, Repeated, Completed},
		{"a resend once it is reverted", []Command{{Order: &toV2}, stepTo(1, Reverted)}, 5000, toV2, Repeated, Reverted},
		{"a new try once it is reverted", []Command{{Order: &toV2}, stepTo(1, Reverted)}, 60_000, toV2, Accepted, Trial},
		{"the next version", append([]Command{{Order: &toV2}}, toEnd...), 90_000, v3, Accepted, Trial},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			m := NewStateMachine()
			for _, c := range tt.before {
				if r := apply(t, m, 0, c); r.Outcome != Accepted {
					t.Fatalf("preceding command: got %+v, want outcome Accepted", r)
				}
			}
			if r := apply(t, m, tt.atMS, Command{Order: &tt.order}); r.Outcome != tt.want || r.Record.Phase != tt.phase {
				t.Errorf("got outcome %d, record %+v, want the outcome and the phase of the test case", r.Outcome, r.Record)
			}
		})
	}
}

// Guards against a step of a deposed leader, which would take a roll-out back or past what
// was decided since.
func TestStepsGoForwardOnly(t *testing.T) {
	tests := []struct {
		name   string
		before []Phase
		number uint64
		next   Phase
		want   Outcome
	}{
		{"next phase", nil, 1, Switching, Accepted},
		{"new shares", nil, 1, Trial, Accepted},
		{"past the switch", nil, 1, Completed, Outdated},
		{"back", []Phase{Switching}, 1, Trial, Outdated},
		{"of another roll-out", nil, 2, Switching, Outdated},
		{"completed once reverted", []Phase{Switching, Moving, Reverted}, 1, Completed, Outdated},
		{"reverted once completed", []Phase{Switching, Moving, Completed}, 1, Reverted, Outdated},
		{"reverted while it moves", []Phase{Switching, Moving}, 1, Reverted, Accepted},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			m := NewStateMachine()
			apply(t, m, 0, Command{Order: &toV2})
			for _, phase := range tt.before {
				apply(t, m, 0, stepTo(1, phase))
			}
			if r := apply(t, m, 0, stepTo(tt.number, tt.next)); r.Outcome != tt.want {
				t.Errorf("got outcome %d, record %+v, want the outcome of the test case", r.Outcome, r.Record)
			}
		})
	}
}

// Guards against orders and outcomes that are lost with a restart, and against members that
// diverge. Whatever the log holds, a restored state machine applies further entries like
// the others, a roll-out never goes back to an earlier phase, and an outcome stays.
func TestAnyLog(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m, now := NewStateMachine(), int64(0)
		for range rapid.IntRange(1, 40).Draw(t, "entries") {
			now += rapid.Int64Range(0, 20_000).Draw(t, "later")
			c := drawCommand(t)
			before, known := m.Record("desk")
			version := m.Version()
			restored := NewStateMachine()
			data, err := m.Snapshot()
			if err != nil {
				t.Fatal(err)
			}
			if err := restored.Restore(data); err != nil {
				t.Fatal(err)
			}
			r := apply(t, m, now, c)
			if again := apply(t, restored, now, c); !reflect.DeepEqual(again, r) {
				t.Fatalf("got reply %+v, and %+v after a restore, want them equal", r, again)
			}
			after, _ := m.Record("desk")
			changed := !reflect.DeepEqual(before, after)
			switch {
			case (m.Version() > version) != changed || m.Version() < version:
				t.Fatalf("got version %d after %d with changed %v, want it to grow exactly with a change", m.Version(), version, changed)
			case known && before.Number == after.Number && before.Phase.Over() && changed:
				t.Fatalf("record %+v with an outcome became %+v, want it unchanged", before, after)
			case known && before.Number == after.Number && after.Phase < before.Phase:
				t.Fatalf("the phase went from %v back to %v, want no earlier phase", before.Phase, after.Phase)
			}
		}
	})
}

func drawCommand(t *rapid.T) Command {
	if rapid.Bool().Draw(t, "order") {
		to := rapid.SampledFrom([]string{"v1", "v2", "v3"}).Draw(t, "to")
		return Command{Order: &Order{Service: "desk", To: to, Duration: time.Second}}
	}
	phase := rapid.SampledFrom([]Phase{Trial, Switching, Moving, Completed, Reverted}).Draw(t, "phase")
	return stepTo(rapid.Uint64Range(0, 4).Draw(t, "number"), phase)
}

func FuzzApply(f *testing.F) {
	data, err := codec.Marshal(Command{Order: &toV2})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(data)
	f.Fuzz(func(t *testing.T, cmd []byte) {
		m := NewStateMachine()
		var r Reply
		if err := codec.Unmarshal(m.Apply(1, cmd), &r); err != nil || r.Outcome == 0 {
			t.Errorf("got reply %+v and error %v, want a reply with an outcome", r, err)
		}
	})
}

func TestInvalidOrders(t *testing.T) {
	tests := map[string]Order{
		"no service":  {To: "v2", Duration: time.Second},
		"no version":  {Service: "desk", Duration: time.Second},
		"no duration": {Service: "desk", To: "v2"},
		"negative":    {Service: "desk", To: "v2", Duration: -time.Second},
		"for ever":    {Service: "desk", To: "v2", Duration: 48 * time.Hour},
	}
	for name, o := range tests {
		t.Run(name, func(t *testing.T) {
			if o.Validate() == nil {
				t.Error("got no error from an invalid order")
			}
		})
	}
}
