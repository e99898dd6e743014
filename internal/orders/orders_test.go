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

// world is four stand-in engines, of which two hold model a and two b, and any
// number of VMs that believe that they lead.
type world struct {
	t       *testing.T
	fences  bool
	engines map[string]*standin.Engine
	machine *control.ReplicatedState
	part    *fleet.StateMachine

	mu      sync.Mutex
	taken   []uint64                 // fencing numbers of the orders that engines took, in order
	lose    bool                     // answers of orders are lost
	pause   map[uint64]time.Duration // an order's way to the engine, by fencing number
	refused int
}

func newWorld(t *testing.T, fences bool) *world {
	w := &world{t: t, fences: fences, engines: map[string]*standin.Engine{}, machine: control.NewReplicatedState(), part: fleet.NewStateMachine(), pause: map[uint64]time.Duration{}}
	w.machine.Register(control.FleetStateMachine, w.part)
	for i, model := range []string{"a", "a", "b", "b"} {
		cfg := standin.DefaultEngine(fmt.Sprint("e", i), model)
		cfg.EnforceFencing, cfg.ModelLoadTime = fences, 3*time.Second
		w.engines[cfg.Name] = standin.NewEngine(cfg)
	}
	return w
}

func (w *world) stop() {
	for _, e := range w.engines {
		e.Stop()
	}
}

// Order implements orders.Engines. A paused order has passed its sender's last
// check: it arrives whatever has happened since.
func (w *world) Order(ctx context.Context, addr string, o engine.Order) (engine.State, error) {
	w.mu.Lock()
	pause, lose := w.pause[o.Fence], w.lose
	delete(w.pause, o.Fence)
	w.mu.Unlock()
	time.Sleep(pause)
	s, err := w.engines[addr].Order(o)
	w.mu.Lock()
	defer w.mu.Unlock()
	if err != nil {
		w.refused++
		return s, err
	}
	w.taken = append(w.taken, o.Fence)
	if lose {
		return engine.State{}, errNet
	}
	return s, nil
}

// State implements orders.Engines.
func (w *world) State(_ context.Context, addr string) (engine.State, error) {
	if !w.engines[addr].Alive() {
		return engine.State{}, errNet
	}
	return w.engines[addr].State(), nil
}

func (w *world) leader(name string, leads func() bool) *orders.Leader {
	return orders.NewLeader(orders.Deps{
		Name: name, Control: control.NewLocalClient(w.machine), Engines: w, IsLeader: leads,
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
		Orders: func() []fleet.Order { return read(w, w.part.Orders) },
		Served: func() *fleet.View {
			v, err := fleet.NewView(read(w, func() []byte { return w.part.Changes(0) }))
			if err != nil {
				w.t.Error(err)
			}
			return v
		},
		Metrics: new(expvar.Map).Init(), Log: zerolog.Nop(),
	}, []fleet.Want{{Model: "a", Copies: 2}, {Model: "b", Copies: 2}})
}

func read[T any](w *world, f func() T) (out T) {
	w.machine.Read(control.FleetStateMachine, func(control.StateMachine) { out = f() })
	return out
}

func (w *world) served(model string) int {
	v, _ := fleet.NewView(read(w, func() []byte { return w.part.Changes(0) }))
	return len(v.Engines(model, "1", ""))
}

func (w *world) orders() []uint64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return slices.Clone(w.taken)
}

func always() bool { return true }

// One engine of two with model a dies. Twenty seconds later, not sooner, an
// engine of the other model gets an order to load it; its answer is lost, and
// the engine's own state shows the outcome. No second order is given.
func TestLostCopyIsLoadedElsewhere(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, true)
		defer w.stop()
		w.lose = true // before the leader starts
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go w.leader("vm1", always).Run(ctx)
		time.Sleep(5 * time.Second)
		w.engines["e0"].Kill()
		time.Sleep(18 * time.Second)
		if len(w.orders()) != 0 {
			t.Error("repaired before the engine could be back")
		}
		time.Sleep(20 * time.Second)
		if len(w.orders()) != 1 || w.served("a") < 2 || len(read(w, w.part.Orders)) != 0 {
			t.Errorf("%d orders taken, model a served by %d, under way %v", len(w.orders()), w.served("a"), read(w, w.part.Orders))
		}
		cancel()
		synctest.Wait()
	})
}

// The engine that was to take the copy dies while it loads. The order ends, and
// the other engine gets one.
func TestEngineDiesDuringTheLoad(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, true)
		defer w.stop()
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go w.leader("vm1", always).Run(ctx)
		time.Sleep(5 * time.Second)
		w.engines["e0"].Kill()
		for len(read(w, w.part.Orders)) == 0 {
			time.Sleep(100 * time.Millisecond)
		}
		w.engines[read(w, w.part.Orders)[0].Engine].Kill()
		time.Sleep(2 * time.Minute)
		if len(w.orders()) < 2 || len(read(w, w.part.Orders)) != 0 || w.served("a") < 2 {
			t.Errorf("%d orders taken, model a served by %d, under way %v", len(w.orders()), w.served("a"), read(w, w.part.Orders))
		}
		cancel()
		synctest.Wait()
	})
}

// A leader commits an order and its order is held up on the way, beyond its
// deposition. The next leader gets a number of its own. An engine that fences
// refuses the late order. One that does not was given no order by the next
// leader before the late one had to be over, so that the newest always wins.
func TestDeposedLeadersLateOrder(t *testing.T) {
	for _, fences := range []bool{true, false} {
		t.Run(fmt.Sprint("fences=", fences), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { lateOrder(t, fences) })
		})
	}
}

func lateOrder(t *testing.T, fences bool) {
	w := newWorld(t, fences)
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
	// Fencing number 1 is the first leader's. No wait can outlast every pause: an
	// engine that ignores the number is safe against what a deadline ends.
	w.pause[1] = 3 * time.Second
	if fences {
		w.pause[1] = time.Minute
	}
	go w.leader("vm1", leads(true)).Run(ctx)
	go w.leader("vm2", leads(false)).Run(ctx)
	time.Sleep(5 * time.Second)
	w.engines["e0"].Kill()
	for len(read(w, w.part.Orders)) == 0 {
		time.Sleep(50 * time.Millisecond)
	}
	mu.Lock()
	first = false
	mu.Unlock()
	time.Sleep(2 * time.Minute)
	w.mu.Lock()
	defer w.mu.Unlock()
	for i := 1; i < len(w.taken); i++ {
		if w.taken[i] < w.taken[i-1] {
			t.Errorf("an order under %d was taken after one under %d", w.taken[i], w.taken[i-1])
		}
	}
	if fences && w.refused == 0 {
		t.Error("the late order was not refused")
	}
	if len(w.taken) == 0 || w.served("a") < 2 {
		t.Errorf("orders taken %v, model a served by %d", w.taken, w.served("a"))
	}
	cancel()
}

// Two VMs believe that they lead at once, over and over: each committed order is
// under the newest number, and no engine has two under way.
func TestTwoLeaders(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, true)
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
		if len(w.taken) > 2 {
			t.Errorf("orders under %v were taken", w.taken)
		}
		cancel()
	})
}
