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
func apply(t interface{ Fatal(...any) }, p *StateMachine, atMS int64, c Command) Reply {
	data, err := codec.Marshal(c)
	if err != nil {
		t.Fatal(err)
	}
	var out Reply
	if err := codec.Unmarshal(p.Apply(atMS, data), &out); err != nil {
		t.Fatal(err)
	}
	return out
}

func stepTo(n uint64, phase Phase) Command {
	return Command{Step: &Step{Service: "desk", Number: n, Phase: phase}}
}

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
			p := NewStateMachine()
			for _, c := range tt.before {
				if r := apply(t, p, 0, c); r.Outcome != Accepted {
					t.Fatalf("before: %+v", r)
				}
			}
			if r := apply(t, p, tt.atMS, Command{Order: &tt.order}); r.Outcome != tt.want || r.Record.Phase != tt.phase {
				t.Errorf("outcome %d, record %+v", r.Outcome, r.Record)
			}
		})
	}
}

// Guards against a step of a leader that was deposed: it would take a roll-out back, or
// past what was decided since.
func TestStepsGoForwardOnly(t *testing.T) {
	tests := []struct {
		name   string
		before []Phase
		number uint64
		next   Phase
		want   Outcome
	}{
		{"on", nil, 1, Switching, Accepted},
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
			p := NewStateMachine()
			apply(t, p, 0, Command{Order: &toV2})
			for _, phase := range tt.before {
				apply(t, p, 0, stepTo(1, phase))
			}
			if r := apply(t, p, 0, stepTo(tt.number, tt.next)); r.Outcome != tt.want {
				t.Errorf("outcome %d, record %+v", r.Outcome, r.Record)
			}
		})
	}
}

// Guards against an order or an outcome that is lost with a restart, and against members
// that differ: whatever the log holds, a restored part goes on as the others do, a
// version never goes back, and an outcome that was reached stays.
func TestAnyLog(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p, now := NewStateMachine(), int64(0)
		for range rapid.IntRange(1, 40).Draw(t, "entries") {
			now += rapid.Int64Range(0, 20_000).Draw(t, "later")
			c := drawCommand(t)
			before, known := p.Record("desk")
			version := p.Version()
			restored := NewStateMachine()
			data, err := p.Snapshot()
			if err != nil {
				t.Fatal(err)
			}
			if err := restored.Restore(data); err != nil {
				t.Fatal(err)
			}
			r := apply(t, p, now, c)
			if again := apply(t, restored, now, c); !reflect.DeepEqual(again, r) {
				t.Fatalf("%+v, restored %+v", r, again)
			}
			after, _ := p.Record("desk")
			changed := !reflect.DeepEqual(before, after)
			switch {
			case (p.Version() > version) != changed || p.Version() < version:
				t.Fatalf("version %d after %d, changed: %v", p.Version(), version, changed)
			case known && before.Number == after.Number && before.Phase.Over() && changed:
				t.Fatalf("%+v became %+v", before, after)
			case known && before.Number == after.Number && after.Phase < before.Phase:
				t.Fatalf("from %v back to %v", before.Phase, after.Phase)
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
		p := NewStateMachine()
		var r Reply
		if err := codec.Unmarshal(p.Apply(1, cmd), &r); err != nil || r.Outcome == 0 {
			t.Errorf("%+v, %v", r, err)
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
				t.Error("taken")
			}
		})
	}
}
