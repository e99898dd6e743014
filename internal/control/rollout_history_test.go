package control

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/anishathalye/porcupine"

	"github.com/amaranthshelf/amaranthshelf/internal/rollout"
)

// rolloutsSeen is what roll-outs are seen from outside: an order is accepted while none
// is under way, a step ends it, and a read tells the number and the phase.
type rolloutsSeen struct {
	number uint64
	over   bool
}

var orders = porcupine.Model{
	Init: func() any { return rolloutsSeen{over: true} },
	Step: func(state, input, output any) (bool, any) {
		s := state.(rolloutsSeen)
		switch in := input.(type) {
		case rollout.Order:
			next := s
			if s.over {
				next = rolloutsSeen{number: s.number + 1}
			}
			return output == nil || output == next, next
		case rollout.Step:
			if !s.over && s.number == in.Number {
				s.over = true
			}
			return output == nil || output == s, s
		}
		return output == s, s
	},
	Equal: func(a, b any) bool { return a == b },
}

// operateRollouts orders roll-outs and ends them on one VM until told to stop.
func (c *cluster) operateRollouts(client int, v *vm, h *history, stop <-chan struct{}) {
	last := uint64(0)
	for i := 0; ; i++ {
		select {
		case <-stop:
			return
		case <-time.After(25 * time.Millisecond):
		}
		op := porcupine.Operation{ClientId: client, Call: time.Now().UnixNano(), Return: 1 << 62}
		var command rollout.Command
		if i%2 == 0 {
			o := rollout.Order{Service: "desk", To: fmt.Sprintf("v%d-%d", client, i), Duration: time.Second}
			command, op.Input = rollout.Command{Order: &o}, o
		} else {
			s := rollout.Step{Service: "desk", Number: last, Phase: rollout.Reverted}
			command, op.Input = rollout.Command{Step: &s}, s
		}
		ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
		if r, err := Propose[rollout.Reply](ctx, v.client, RolloutsStateMachine, command); err == nil {
			op.Output, op.Return = seenOf(&r.Record), time.Now().UnixNano()
			last = r.Record.Number
		}
		cancel()
		h.add(op)
	}
}

func seenOf(r *rollout.Record) rolloutsSeen {
	return rolloutsSeen{r.Number, r.Number == 0 || r.Phase.Over()}
}

// Guards against an order that is acknowledged and lost, an outcome that is reached twice,
// and a read that is older than what another operator was told, while control VMs are
// lost, cut off and started again.
func TestRolloutsAreLinearizable(t *testing.T) {
	for run := range uint64(4) {
		t.Run(fmt.Sprint(run), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				rng := rand.New(rand.NewPCG(20261203, run))
				c := startCluster(t, 2)
				defer c.stop()
				c.leader()
				var h history
				var operators sync.WaitGroup
				stop := make(chan struct{})
				for i, id := range []string{"router1", "router2"} {
					operators.Go(func() { c.operateRollouts(i, c.vms[id], &h, stop) })
				}
				reader := c.voters[0]
				operators.Go(func() { c.readRollouts(2, c.vms[reader], &h, stop) })
				for range 12 {
					<-time.After(time.Duration(rng.IntN(1200)) * time.Millisecond)
					if lost := c.voters[1+rng.IntN(2)]; rng.IntN(2) == 0 {
						c.isolate(lost, c.ids...)
					} else {
						c.isolate(reader, c.ids...)
					}
					<-time.After(time.Duration(rng.IntN(1500)) * time.Millisecond)
					c.heal()
				}
				close(stop)
				operators.Wait()
				answered := 0
				for _, op := range h.ops {
					if op.Output != nil {
						answered++
					}
				}
				t.Logf("%d operations, %d answered", len(h.ops), answered)
				if res := porcupine.CheckOperationsTimeout(orders, h.ops, 20*time.Second); res != porcupine.Ok || answered < 50 {
					t.Errorf("%d operations, %d answered: %v", len(h.ops), answered, res)
				}
			})
		})
	}
}

// readRollouts reads on a control VM until told to stop.
func (c *cluster) readRollouts(client int, v *vm, h *history, stop <-chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(40 * time.Millisecond):
		}
		op := porcupine.Operation{ClientId: client, Call: time.Now().UnixNano()}
		ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
		if err := v.client.Barrier(ctx); err == nil {
			v.machine.Read(RolloutsStateMachine, func(p StateMachine) {
				r, _ := p.(*rollout.StateMachine).Record("desk")
				op.Output = seenOf(&r)
			})
			op.Return = time.Now().UnixNano()
			h.add(op)
		}
		cancel()
	}
}
