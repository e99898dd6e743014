package relay_test

import (
	"fmt"
	"sync"
	"testing"
	"time"
)

// Three callers read answers from two VMs when engines fail in mid-output. An engine
// dies, two engines die in a row, an engine is paused and then sends late tokens, an
// engine stalls a single stream, or an engine sends each caller's events under another
// attempt's id. Each caller must receive its own complete answer, continued on another
// engine, without any token of another attempt or answer.
func TestEngineFaults(t *testing.T) {
	for _, c := range []struct {
		name  string
		fault func(s *system)
		gap   time.Duration // the longest allowed wait for a token
	}{
		{"reset", func(s *system) { s.engines[0].Kill() }, 2 * time.Second},
		{"two in a row", func(s *system) {
			s.engines[0].Kill()
			time.Sleep(300 * time.Millisecond) // virtual
			s.engines[1].Kill()
		}, 3 * time.Second},
		{"pause of 2 s", func(s *system) { s.engines[0].Pause(2 * time.Second) }, 4 * time.Second},
		{"pause of 20 s", func(s *system) { s.engines[0].Pause(20 * time.Second) }, 6 * time.Second},
		{"one stream stalls", func(s *system) { s.engines[0].StallAttempts("k0") }, 6 * time.Second},
		{"crossed events", func(s *system) {
			s.engines[0].SwapAttemptIDs(true)
			time.Sleep(200 * time.Millisecond) // virtual
			s.engines[0].SwapAttemptIDs(false)
		}, 6 * time.Second},
		{"late events", func(s *system) { s.engines[0].DelayEvents(30 * time.Millisecond) }, 6 * time.Second},
	} {
		t.Run(c.name, func(t *testing.T) {
			inBubble(t, 3, 4, func(s *system) {
				s.onlyEngine(0) // all three answers begin on this engine
				callers := make([]*caller, 3)
				for i := range callers {
					callers[i] = s.caller(fmt.Sprint("k", i))
					if err := callers[i].read("vm0", 50); err != nil {
						t.Fatal(err)
					}
				}
				s.onlyEngine(-1)
				var wg sync.WaitGroup
				for i, caller := range callers {
					wg.Go(func() { caller.finishOn(fmt.Sprint("vm", i%2)) })
				}
				c.fault(s)
				wg.Wait()
				for _, caller := range callers {
					if caller.gap > c.gap {
						t.Errorf("%s: longest wait for tokens was %v, over the limit of the fault", caller.key, caller.gap)
					}
				}
			})
		})
	}
}
