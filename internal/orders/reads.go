package orders

import (
	"context"
	"sync"
	"time"

	"github.com/amaranthshelf/amaranthshelf/internal/fleet"
)

// plannerView returns the backend with its last known state, as the planner needs it.
func (l *Leader) plannerView(b Backend) fleet.Engine {
	e, s := b.Engine, l.seen[b.Name]
	e.Lost, e.Copies = time.Since(s.readAt) > maxMissedReads*l.readInterval, s.copies
	return e
}

// due returns the engines to read in this round: those with a pending order, and as many of
// the others as the budget allows, in turn. It notes the read of each.
func (l *Leader) due(backends []Backend) []Backend {
	busy := map[string]bool{}
	for _, o := range l.Orders() {
		busy[o.Engine] = true
	}
	now := time.Now()
	left := max(1, int(readBytesPerSecond*roundInterval/time.Second)/stateBytes)
	var out []Backend
	for _, b := range backends {
		// A read is due half a round early, because it would be late if it waited for the
		// next round.
		if busy[b.Name] || left > 0 && now.Sub(l.lastRead[b.Name]) >= l.readInterval-roundInterval/2 {
			l.lastRead[b.Name] = now
			left--
			out = append(out, b)
		}
	}
	return out
}

// readStates reads the engines' states, at most maxConcurrentReads at once.
func (l *Leader) readStates(ctx context.Context, backends []Backend) {
	var mu sync.Mutex
	var reads sync.WaitGroup
	slots := make(chan struct{}, maxConcurrentReads)
	for _, b := range backends {
		slots <- struct{}{}
		reads.Go(func() {
			defer func() { <-slots }()
			copies, err := l.read(ctx, b.Addr)
			if err != nil {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			l.seen[b.Name] = engineState{time.Now(), copies}
		})
	}
	reads.Wait()
}

func (l *Leader) read(ctx context.Context, addr string) ([]fleet.Copy, error) {
	ctx, cancel := context.WithTimeout(ctx, stateTimeout)
	defer cancel()
	s, err := l.Engines.State(ctx, addr)
	if err != nil {
		return nil, err
	}
	var out []fleet.Copy
	for _, m := range s.Models {
		out = append(out, fleet.Copy{Model: m.Name, Version: m.Version, Adapters: m.Adapters, Ready: m.Ready})
	}
	return out, nil
}
