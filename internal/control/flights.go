package control

import (
	"context"
	"sync"
)

// The load pattern. A command takes seconds to commit: it is large, links are slow. Its
// proposer gives the attempt up and sends the command again, an operator without an
// answer asks another VM, and the leader appends a copy for each. The copies share the
// links with the first one, so that it takes longer still, and more are sent.
//
// So whoever brings a proposal that is under way waits for the outcome of the first.

// flights are the proposals under way on a leader, by id. Safe for concurrent use.
type flights struct {
	mu   sync.Mutex
	byID map[string]*flight
}

// flight is one proposal under way.
type flight struct {
	done chan struct{}
	out  reply // once done is closed
}

// join runs propose, unless the proposal is under way already, and waits for its
// outcome. The proposal goes on if ctx ends before.
func (f *flights) join(ctx context.Context, id string, propose func() reply) reply {
	f.mu.Lock()
	fl := f.byID[id]
	if fl == nil {
		fl = &flight{done: make(chan struct{})}
		if f.byID == nil {
			f.byID = map[string]*flight{}
		}
		f.byID[id] = fl
		go f.run(id, fl, propose)
	}
	f.mu.Unlock()
	return fl.wait(ctx)
}

func (f *flights) run(id string, fl *flight, propose func() reply) {
	fl.out = propose()
	f.mu.Lock()
	delete(f.byID, id)
	f.mu.Unlock()
	close(fl.done)
}

// wait waits for the outcome of a proposal; ok is false where it is not under way.
func (f *flights) wait(ctx context.Context, id string) (out reply, ok bool) {
	f.mu.Lock()
	fl := f.byID[id]
	f.mu.Unlock()
	if fl == nil {
		return reply{}, false
	}
	return fl.wait(ctx), true
}

func (fl *flight) wait(ctx context.Context) reply {
	select {
	case <-fl.done:
		return fl.out
	case <-ctx.Done():
		return reply{Status: statusUnknown}
	}
}
