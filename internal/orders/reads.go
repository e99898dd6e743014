package orders

import (
	"context"
	"sync"
	"time"

	"github.com/amaranthshelf/amaranthshelf/internal/fleet"
)

func (l *Leader) plannerView(b Backend) fleet.Engine {
	e, s := b.Engine, l.seen[b.Name]
	e.Lost, e.Copies = time.Since(s.readAt) > maxMissedReads*l.readInterval, s.copies
	return e
}

// due are the engines to read in this round: those with an order under way, and
// the others in turn.
func (l *Leader) due(backends []Backend) []Backend {
	busy := map[string]bool{}
	for _, o := range l.Orders() {
		busy[o.Engine] = true
	}
	now := time.Now()
	left := max(1, int(readBytesPerSecond*roundInterval/time.Second)/stateBytes)
	var out []Backend
	for _, b := range backends {
		// Half a round early: a read that has to wait for the next round is late.
		if busy[b.Name] || left > 0 && now.Sub(l.lastRead[b.Name]) >= l.readInterval-roundInterval/2 {
			l.lastRead[b.Name] = now
			left--
			out = append(out, b)
		}
	}
	return out
}

// look reads the engines' states, a bounded number at once.
func (l *Leader) readStates(ctx context.Context, backends []Backend) {
	var mu sync.Mutex
	var all sync.WaitGroup
	slots := make(chan struct{}, maxConcurrentReads)
	for _, b := range backends {
		slots <- struct{}{}
		all.Go(func() {
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
	all.Wait()
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
