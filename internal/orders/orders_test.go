package orders_test

import (
	"context"
	"errors"
	"expvar"
	"fmt"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"

	"github.com/amaranthshelf/amaranthshelf/internal/control"
	"github.com/amaranthshelf/amaranthshelf/internal/engine"
	"github.com/amaranthshelf/amaranthshelf/internal/fleet"
	"github.com/amaranthshelf/amaranthshelf/internal/orders"
	"github.com/amaranthshelf/amaranthshelf/internal/standin"
)

var errNet = errors.New("no answer")

// testSystem has four stand-in engines, of which two hold model a and two hold model b. Any
// number of VMs may assume that they lead the control group.
type testSystem struct {
	t       *testing.T
	fences  bool
	engines map[string]*standin.Engine
	state   *control.ReplicatedState
	sm      *fleet.StateMachine

	mu          sync.Mutex
	accepted    []uint64                 // fencing numbers of the orders that engines accepted, in order
	loseAnswers bool                     // answers to orders are lost
	delays      map[uint64]time.Duration // delay of an order to the engine, by fencing number
	refused     int
}

func newTestSystem(t *testing.T, fences bool) *testSystem {
	w := &testSystem{t: t, fences: fences, engines: map[string]*standin.Engine{}, state: control.NewReplicatedState(), sm: fleet.NewStateMachine(), delays: map[uint64]time.Duration{}}
	w.state.Register(control.FleetStateMachine, w.sm)
	for i, model := range []string{"a", "a", "b", "b"} {
		cfg := standin.DefaultEngine(fmt.Sprint("e", i), model)
		cfg.EnforceFencing, cfg.ModelLoadTime = fences, 3*time.Second
		w.engines[cfg.Name] = standin.NewEngine(cfg)
	}
	return w
}

func (w *testSystem) stop() {
	for _, e := range w.engines {
		e.Stop()
	}
}

// Order implements orders.Engines. A delayed order has passed its sender's last check and
// always arrives, also after its sender was deposed.
func (w *testSystem) Order(ctx context.Context, addr string, o engine.Order) (engine.State, error) {
	w.mu.Lock()
	delay, lose := w.delays[o.Fence], w.loseAnswers
	delete(w.delays, o.Fence)
	w.mu.Unlock()
	time.Sleep(delay)
	s, err := w.engines[addr].Order(o)
	w.mu.Lock()
	defer w.mu.Unlock()
	if err != nil {
		w.refused++
		return s, err
	}
	w.accepted = append(w.accepted, o.Fence)
	if lose {
		return engine.State{}, errNet
	}
	return s, nil
}

// State implements orders.Engines.
func (w *testSystem) State(_ context.Context, addr string) (engine.State, error) {
	if !w.engines[addr].Alive() {
		return engine.State{}, errNet
	}
	return w.engines[addr].State(), nil
}

func (w *testSystem) leader(name string, leads func() bool) *orders.Leader {
	return orders.NewLeader(orders.Deps{
		Name: name, Control: control.NewLocalClient(w.state), Engines: w, IsLeader: leads,
		Backends: func() []orders.Backend {
			var out []orders.Backend
			for i, model := range []string{"a", "a", "b", "b"} {
				name := fmt.Sprint("e", i)
				out = append(out, orders.Backend{Addr: name, Engine: fleet.Engine{
					Name: name, Zone: fmt.Sprint("z", i), Fences: w.fences, Slots: 2, Configured: []string{model},
				}})
			}
			return out
		},
		Orders: func() []fleet.Order { return read(w, w.sm.Orders) },
		Served: func() *fleet.View {
			v, err := fleet.NewView(read(w, func() []byte { return w.sm.Changes(0) }))
			if err != nil {
				w.t.Error(err)
			}
			return v
		},
		Metrics: new(expvar.Map).Init(), Log: zerolog.Nop(),
	}, []fleet.Want{{Model: "a", Copies: 2}, {Model: "b", Copies: 2}})
}

func read[T any](w *testSystem, f func() T) (out T) {
	w.state.Read(control.FleetStateMachine, func(control.StateMachine) { out = f() })
	return out
}

func (w *testSystem) served(model string) int {
	v, _ := fleet.NewView(read(w, func() []byte { return w.sm.Changes(0) }))
	return len(v.Engines(model, "1", ""))
}

func (w *testSystem) acceptedFences() []uint64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return slices.Clone(w.accepted)
}

func always() bool { return true }

// One of the two engines with model a dies. Twenty seconds later, not sooner, an engine with
// model b gets an order to load model a. The answer is lost, and the engine's own state shows
// the outcome. A lost answer must not cause a second order.
func TestLostCopyIsLoadedElsewhere(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newTestSystem(t, true)
		defer w.stop()
		w.loseAnswers = true // before the leader starts
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go w.leader("vm1", always).Run(ctx)
		time.Sleep(5 * time.Second)
		w.engines["e0"].Kill()
		time.Sleep(18 * time.Second)
		if len(w.acceptedFences()) != 0 {
			t.Error("an engine got an order 18 s after the death, want none before 20 s")
		}
		time.Sleep(20 * time.Second)
		if len(w.acceptedFences()) != 1 || w.served("a") < 2 || len(read(w, w.sm.Orders)) != 0 {
			t.Errorf("got %d orders accepted, model a served by %d engines, pending orders %v; want 1 order, model a served by 2 and none pending", len(w.acceptedFences()), w.served("a"), read(w, w.sm.Orders))
		}
		cancel()
		synctest.Wait()
	})
}

// The engine that loads the lost copy dies during the load. Its order must not stay pending:
// it ends, and the other engine gets one.
func TestEngineDiesDuringTheLoad(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newTestSystem(t, true)
		defer w.stop()
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go w.leader("vm1", always).Run(ctx)
		time.Sleep(5 * time.Second)
		w.engines["e0"].Kill()
		for len(read(w, w.sm.Orders)) == 0 {
			time.Sleep(100 * time.Millisecond)
		}
		w.engines[read(w, w.sm.Orders)[0].Engine].Kill()
		time.Sleep(2 * time.Minute)
		if len(w.acceptedFences()) < 2 || len(read(w, w.sm.Orders)) != 0 || w.served("a") < 2 {
			t.Errorf("got %d orders accepted, model a served by %d engines, pending orders %v; want at least 2 orders, model a served by 2 and none pending", len(w.acceptedFences()), w.served("a"), read(w, w.sm.Orders))
		}
		cancel()
		synctest.Wait()
	})
}

// A leader commits an order, and the order is delayed on the network until after the leader
// was deposed. The next leader gets a new fencing number. An engine that checks fencing
// numbers refuses the delayed order. An engine that ignores them gets no order from the next
// leader before the delayed one can no longer arrive. The newest order wins in both cases.
func TestDeposedLeadersLateOrder(t *testing.T) {
	for _, fences := range []bool{true, false} {
		t.Run(fmt.Sprint("fences=", fences), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { lateOrder(t, fences) })
		})
	}
}

func lateOrder(t *testing.T, fences bool) {
	w := newTestSystem(t, fences)
	defer w.stop()
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	var mu sync.Mutex
	first := true
	leads := func(one bool) func() bool {
		return func() bool {
			mu.Lock()
			defer mu.Unlock()
			return first == one
		}
	}
	// Fencing number 1 is the first leader's. No maximum wait exceeds every possible delay:
	// an engine that ignores the number is safe only from delays that a deadline bounds.
	w.delays[1] = 3 * time.Second
	if fences {
		w.delays[1] = time.Minute
	}
	go w.leader("vm1", leads(true)).Run(ctx)
	go w.leader("vm2", leads(false)).Run(ctx)
	time.Sleep(5 * time.Second)
	w.engines["e0"].Kill()
	for len(read(w, w.sm.Orders)) == 0 {
		time.Sleep(50 * time.Millisecond)
	}
	mu.Lock()
	first = false
	mu.Unlock()
	time.Sleep(2 * time.Minute)
	w.mu.Lock()
	defer w.mu.Unlock()
	for i := 1; i < len(w.accepted); i++ {
		if w.accepted[i] < w.accepted[i-1] {
			t.Errorf("an order with fencing number %d was accepted after one with %d", w.accepted[i], w.accepted[i-1])
		}
	}
	if fences && w.refused == 0 {
		t.Error("the delayed order was not refused")
	}
	if len(w.accepted) == 0 || w.served("a") < 2 {
		t.Errorf("got orders %v accepted and model a served by %d engines, want at least 1 order and 2 engines", w.accepted, w.served("a"))
	}
	cancel()
}

// Two VMs assume at the same time that they lead, again and again. Each committed order has
// the newest fencing number, and no engine has two pending orders. One lost copy must not
// cause many orders.
func TestTwoLeaders(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newTestSystem(t, true)
		defer w.stop()
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go w.leader("vm1", always).Run(ctx)
		go w.leader("vm2", always).Run(ctx)
		time.Sleep(5 * time.Second)
		w.engines["e0"].Kill()
		time.Sleep(3 * time.Minute)
		w.mu.Lock()
		defer w.mu.Unlock()
		if len(w.accepted) > 2 {
			t.Errorf("got orders with fencing numbers %v accepted, want at most 2 orders", w.accepted)
		}
		cancel()
	})
}
