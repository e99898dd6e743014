package service_test

import (
	"context"
	"errors"
	"expvar"
	"flag"
	"fmt"
	"os"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/rs/zerolog"
	"pgregory.net/rapid"

	"github.com/amaranthshelf/amaranthshelf/internal/call"
	"github.com/amaranthshelf/amaranthshelf/internal/control"
	"github.com/amaranthshelf/amaranthshelf/internal/explain"
	"github.com/amaranthshelf/amaranthshelf/internal/service"
)

// The pinned values make CI run the same schedules each time. Flags override them.
const (
	pinnedSeed   = "20261202"
	pinnedChecks = "2000"
)

func setDefault(name, value string) {
	if f := flag.Lookup(name); f.Value.String() == f.DefValue {
		_ = f.Value.Set(value)
	}
}

func TestMain(m *testing.M) {
	flag.Parse()
	setDefault("rapid.seed", pinnedSeed)
	setDefault("rapid.checks", pinnedChecks)
	os.Exit(m.Run())
}

// plannedCall is one request of a caller with the faults that are injected into it.
type plannedCall struct {
	Start             time.Duration
	VM                int
	Key               int
	Control           []controlFault // one for each proposal in order; later proposals have no fault
	PauseBeforePermit time.Duration  // before the claimant checks its permission
	PauseAfterPermit  time.Duration  // between the permission and the first byte
	Killed            bool           // the VM is killed at the first pause
	Service           serviceFault
}

type controlFault int

const (
	controlOK          controlFault = iota
	controlReplyLost                // executed, the reply is lost
	controlUnavailable              // not executed
	controlLate                     // reported as failed, executed seconds later
)

type serviceFault int

const (
	serviceOK         serviceFault = iota
	serviceUnsent                  // the connection breaks before the first byte
	serviceNotRun                  // bytes were written, the call did not run
	serviceAnswerLost              // it ran, the answer was lost
)

func drawPlannedCall(t *rapid.T) plannedCall {
	ms := func(most int, name string) time.Duration {
		return time.Duration(rapid.IntRange(0, most).Draw(t, name)) * time.Millisecond
	}
	pause := func(name string) time.Duration {
		return rapid.SampledFrom([]time.Duration{0, 0, 0, time.Second, 5 * time.Second, 100 * time.Second}).Draw(t, name)
	}
	return plannedCall{
		Start: ms(8000, "start"), VM: rapid.IntRange(0, 2).Draw(t, "vm"), Key: rapid.IntRange(0, 1).Draw(t, "key"),
		Control: rapid.SliceOfN(rapid.Custom(func(t *rapid.T) controlFault {
			return controlFault(rapid.IntRange(0, int(controlLate)).Draw(t, "fault"))
		}), 0, 3).Draw(t, "control"),
		PauseBeforePermit: pause("before"), PauseAfterPermit: pause("after"), Killed: rapid.IntRange(0, 5).Draw(t, "dies") == 0,
		Service: serviceFault(rapid.IntRange(0, int(serviceAnswerLost)).Draw(t, "service")),
	}
}

// simulation holds the control group, the service's runs and the callers' history.
type simulation struct {
	state *control.ReplicatedState

	mu      sync.Mutex
	runs    map[string]int
	history []porcupine.Operation
}

// faultyControl is one request's client of the control group, with injected faults.
type faultyControl struct {
	*control.LocalClient
	plan *plannedCall

	mu   sync.Mutex
	next int
}

var errControl = errors.New("no reply from the control group")

func (f *faultyControl) fault() controlFault {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.next++
	if f.next > len(f.plan.Control) {
		return controlOK
	}
	return f.plan.Control[f.next-1]
}

func (f *faultyControl) Propose(ctx context.Context, id control.StateMachineID, cmd []byte) ([]byte, error) {
	time.Sleep(2 * time.Millisecond)
	switch f.fault() {
	case controlReplyLost:
		_, _ = f.LocalClient.Propose(ctx, id, cmd)
		return nil, errControl
	case controlUnavailable:
		return nil, errControl
	case controlLate:
		time.AfterFunc(3*time.Second, func() { _, _ = f.LocalClient.Propose(ctx, id, cmd) })
		return nil, errControl
	default:
		return f.LocalClient.Propose(ctx, id, cmd)
	}
}

// fakeSender is the service as seen by one request.
type fakeSender struct {
	service.Sender
	w    *simulation
	plan *plannedCall
}

func (f *fakeSender) Dial(context.Context, string) (service.Connection, error) { return f, nil }
func (f *fakeSender) Close()                                                   {}

var errBroken = errors.New("connection broken")

// errKilled is the panic value that stops a request whose VM is killed.
var errKilled = errors.New("killed")

func (f *fakeSender) Send(_ context.Context, r *service.Request, permit func() error) (*call.Answer, bool, error) {
	time.Sleep(f.plan.PauseBeforePermit)
	if f.plan.Killed {
		panic(errKilled)
	}
	if err := permit(); err != nil {
		return nil, false, err
	}
	time.Sleep(f.plan.PauseAfterPermit)
	if f.plan.Service == serviceUnsent {
		return nil, false, errBroken
	}
	time.Sleep(10 * time.Millisecond)
	if f.plan.Service == serviceNotRun {
		return nil, true, errBroken
	}
	key := r.Header.Get("Idempotency-Key")
	f.w.mu.Lock()
	f.w.runs[key]++
	run := f.w.runs[key]
	f.w.mu.Unlock()
	if f.plan.Service == serviceAnswerLost {
		return nil, true, errBroken
	}
	return &call.Answer{Status: 201, Body: fmt.Appendf(nil, "run %d", run)}, true, nil
}

type goneVMs map[string]bool

func (g goneVMs) Gone(vm, _ string) bool { return g[vm] }

// run sends one planned call and records its caller's outcome.
func (w *simulation) run(client int, p *plannedCall, gone goneVMs) {
	time.Sleep(p.Start)
	d := service.NewDispatcher(service.Config{VM: fmt.Sprint("vm", p.VM), Incarnation: fmt.Sprint("i", client)}, service.Deps{
		Control: &faultyControl{LocalClient: control.NewLocalClient(w.state), plan: p}, Sender: &fakeSender{w: w, plan: p},
		Backends: staticBackends{{Name: "a"}}, Incarnations: gone, Explain: explain.NewRing(8),
		Metrics: new(expvar.Map).Init(), Log: zerolog.Nop(),
	})
	key := fmt.Sprint("key", p.Key)
	began := time.Now()
	got := "killed"
	func() {
		defer func() {
			if r := recover(); r != nil && r != any(errKilled) {
				panic(r)
			}
		}()
		got = outcome(d.Once(context.Background(), booking(key, nil)))
	}()
	w.mu.Lock()
	defer w.mu.Unlock()
	w.history = append(w.history, porcupine.Operation{
		ClientId: client, Input: key, Output: got, Call: began.UnixNano(), Return: time.Now().UnixNano(),
	})
}

// answerModel models each key as a write-once register: the first final outcome is
// the outcome of all calls. "Still running" and refusals without a claim do not
// constrain it.
var answerModel = porcupine.Model{
	Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
		byKey := map[string][]porcupine.Operation{}
		for _, op := range history {
			byKey[op.Input.(string)] = append(byKey[op.Input.(string)], op)
		}
		var out [][]porcupine.Operation
		for _, ops := range byKey {
			out = append(out, ops)
		}
		return out
	},
	Init: func() any { return "" },
	Step: func(state, _, output any) (bool, any) {
		got := output.(string)
		if got == "killed" || got == "3011 unknown" || got == "3007 no" {
			return true, state
		}
		return state == "" || state == got, got
	},
}

// Each key must run at most once, all its final outcomes must be equal, an answer
// must mean one run, and "not run" none. Two keys are sent to three VMs, often
// concurrently. Claimants pause before and after their last check, are killed, or
// are considered dead while they run. Replies of the control group are lost, or
// its commands execute after the claimant has given up.
func TestHistoriesOfClaims(t *testing.T) {
	finals := map[string]int{}
	rapid.Check(t, func(rt *rapid.T) {
		plans := rapid.SliceOfN(rapid.Custom(drawPlannedCall), 2, 8).Draw(rt, "calls")
		gone := goneVMs{fmt.Sprint("vm", rapid.IntRange(0, 3).Draw(rt, "gone")): true}
		var w *simulation
		synctest.Test(t, func(*testing.T) {
			w = &simulation{state: newState(), runs: map[string]int{}}
			var all sync.WaitGroup
			for i := range plans {
				all.Go(func() { w.run(i, &plans[i], gone) })
			}
			all.Wait()
			time.Sleep(2 * time.Minute) // lets releases and late proposals end
		})
		w.check(rt, finals)
	})
	for _, want := range []string{"201 run 1", "4003 unknown", "4009 no", "3007 no", "3011 unknown"} {
		if finals[want] == 0 {
			t.Errorf("no schedule ended in %q: got %v", want, finals)
		}
	}
}

// The claimant is paused between its claim and its last check for longer than its
// permission is valid. Another VM may have reported "unknown" to a caller by then,
// and the call must not run afterwards.
func TestPausedClaimantDoesNotDispatchLate(t *testing.T) {
	for _, c := range []struct {
		pause time.Duration
		want  string
		runs  int
	}{
		{time.Second, "201 run 1", 1},
		{3 * time.Second, "4009 no", 0},
	} {
		synctest.Test(t, func(t *testing.T) {
			w := &simulation{state: newState(), runs: map[string]int{}}
			w.run(0, &plannedCall{PauseBeforePermit: c.pause}, goneVMs{})
			if got := w.history[0].Output; got != c.want || w.runs["key0"] != c.runs {
				t.Errorf("paused for %s: got %v and %d runs, want %s and %d", c.pause, got, w.runs["key0"], c.want, c.runs)
			}
		})
	}
}

func (w *simulation) check(t *rapid.T, finals map[string]int) {
	for _, op := range w.history {
		key, got := op.Input.(string), op.Output.(string)
		finals[got]++
		runs := w.runs[key]
		switch {
		case runs > 1:
			t.Fatalf("%s: got %d runs, want at most 1", key, runs)
		case strings.HasPrefix(got, "201") && runs != 1, got == "4009 no" && runs != 0:
			t.Fatalf("%s: got %d runs with outcome %q, which contradict each other", key, runs, got)
		}
	}
	if !porcupine.CheckOperations(answerModel, w.history) {
		t.Fatalf("got different final outcomes of one key: %v", w.history)
	}
}
