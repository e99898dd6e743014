package standin

import (
	"slices"
	"time"

	"github.com/amaranthshelf/amaranthshelf/internal/engine"
)

// Order changes what the engine serves. An engine that fences refuses numbers
// below the highest it has seen; one that does not takes every order.
func (e *Engine) Order(o engine.Order) (engine.State, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.dead {
		return engine.State{}, errDead
	}
	if e.cfg.EnforceFencing && o.Fence < e.state.Fence {
		return engine.State{}, errOldFence
	}
	e.state.Fence = max(e.state.Fence, o.Fence)
	if !e.cfg.EnforceFencing {
		e.state.Fence = o.Fence
	}
	switch o.Op {
	case "load":
		e.loadModel(o)
	case "unload":
		e.state.Models = slices.DeleteFunc(e.state.Models, func(m engine.Model) bool {
			return m.Name == o.Model && m.Version == o.Version
		})
	case "role":
		e.state.Role = o.Role
	}
	return e.copyState(), nil
}

// loadModel needs e.mu. The model is ready after the engine's load time.
func (e *Engine) loadModel(o engine.Order) {
	for i := range e.state.Models {
		m := &e.state.Models[i]
		if m.Name == o.Model && m.Version == o.Version {
			if o.Adapter != "" && !slices.Contains(m.Adapters, o.Adapter) {
				m.Adapters = append(m.Adapters, o.Adapter)
			}
			return
		}
	}
	m := engine.Model{Name: o.Model, Version: o.Version}
	if o.Adapter != "" {
		m.Adapters = []string{o.Adapter}
	}
	e.state.Models = append(e.state.Models, m)
	time.AfterFunc(e.cfg.ModelLoadTime, func() { e.setReady(o.Model, o.Version) })
}

func (e *Engine) setReady(model, version string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for i := range e.state.Models {
		m := &e.state.Models[i]
		if m.Name == model && m.Version == version {
			m.Ready = true
		}
	}
}

// State is what the engine serves.
func (e *Engine) State() engine.State {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.copyState()
}

func (e *Engine) copyState() engine.State {
	out := e.state
	out.Models = slices.Clone(e.state.Models)
	return out
}

// cacheEvents returns the events after since that are old enough to be
// published, without those that are lost.
func (e *Engine) cacheEvents(since uint64) engine.CacheEvents {
	e.mu.Lock()
	defer e.mu.Unlock()
	out := engine.CacheEvents{Events: []engine.CacheEvent{}, Next: since}
	now := time.Now()
	for _, ev := range e.cache.events {
		if ev.Seq <= since {
			continue
		}
		if now.Sub(ev.at) < e.cfg.EventLag {
			break
		}
		out.Next = ev.Seq
		if e.cfg.DropEveryNthEvent > 0 && ev.Seq%uint64(e.cfg.DropEveryNthEvent) == 0 {
			continue
		}
		out.Events = append(out.Events, ev.CacheEvent)
	}
	return out
}
