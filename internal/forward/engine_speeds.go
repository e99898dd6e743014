package forward

import (
	"sync"
	"time"

	"github.com/amaranthshelf/amaranthshelf/internal/enginespeed"
	"github.com/amaranthshelf/amaranthshelf/internal/upstream"
)

// The measurement of engines' speeds.
//
// The overload. The VM that decides about streams sees grants and first events, but no events
// in between, and each router sees a few runs of each engine. Without the measurements of all
// routers, an engine that pauses its runs for too long looks as good as any other.
//
// Routers measure only services whose servers state slowdowns. What was measured is reported
// once and then forgotten: a report that is lost costs these measurements and nothing else.

// maxReportedSpeeds is the number of engines in one report. A router has runs on few engines,
// and reports with each first event and each end of a run.
const maxReportedSpeeds = 8

// speedTracker holds what was measured since the last report. It is safe for concurrent use.
type speedTracker struct {
	mu       sync.Mutex
	observed map[string]*enginespeed.Observation // by server id
	stated   map[string]statedSlowdown           // by server id
}

type statedSlowdown struct {
	factor float64
	at     time.Time
}

// add calls f with the observation of a server.
func (t *speedTracker) add(id string, f func(*enginespeed.Observation)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.observed == nil {
		t.observed, t.stated = map[string]*enginespeed.Observation{}, map[string]statedSlowdown{}
	}
	o := t.observed[id]
	if o == nil {
		o = &enginespeed.Observation{}
		t.observed[id] = o
	}
	f(o)
}

// state records a slowdown that a server states.
func (t *speedTracker) state(id string, factor float64, now time.Time) {
	t.add(id, func(*enginespeed.Observation) { t.stated[id] = statedSlowdown{factor, now} })
}

// take returns the observations of the servers with the most measurements, and forgets them.
func (t *speedTracker) take(now time.Time) map[string]enginespeed.Observation {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := enginespeed.TakeMost(t.observed, maxReportedSpeeds)
	for id, o := range out {
		if s, ok := t.stated[id]; ok {
			o.State(s.factor, now.Sub(s.at))
			out[id] = o
			delete(t.stated, id)
		}
	}
	return out
}

// TakeEngineSpeeds returns what was measured on engines since the last call, by server id, at
// most maxReportedSpeeds of them. It is empty unless servers state slowdowns.
func (h *Handler) TakeEngineSpeeds() map[string]enginespeed.Observation {
	out := h.speeds.take(time.Now())
	h.Stats.EngineSpeeds.Add(len(out))
	return out
}

// learnSlowdown records the slowdown that an engine states; nil: it states no load.
func (h *Handler) learnSlowdown(s *upstream.Server, l *upstream.Load) {
	if l != nil && l.Slowdown > 0 {
		h.speeds.state(s.ID, l.Slowdown, time.Now())
	}
}

// beginPace starts the measurement of a run at its first event. The prefill counts if the
// engine prefilled no other prompt and did not have this one cached.
func (r *run) beginPace(promptTokens int) {
	h := r.st.h
	if !h.opts.Fleet.StatesSlowdown(r.server.Service) {
		return
	}
	r.pace = &enginespeed.Run{}
	if r.granted && r.fromStart && r.st.orphanEngine == "" {
		h.speeds.add(r.server.ID, func(o *enginespeed.Observation) { o.AddPrompt(promptTokens, r.firstEventAt.Sub(r.sentAt)) })
	}
}

// paceEvent measures an event of the run.
func (r *run) paceEvent() {
	if r.pace != nil {
		r.st.h.speeds.add(r.server.ID, func(o *enginespeed.Observation) {
			r.pace.Event(o, r.lastHeard, func() int { return r.st.h.opts.Fleet.UseOf(r.server).Requests })
		})
	}
}

// endPace measures a complete run.
func (r *run) endPace() {
	if r.pace != nil {
		r.st.h.speeds.add(r.server.ID, r.pace.End)
	}
}
