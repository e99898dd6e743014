package cluster

import (
	"context"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/amaranthshelf/amaranthshelf/internal/decider"
	"github.com/amaranthshelf/amaranthshelf/internal/peer"
	"github.com/amaranthshelf/amaranthshelf/internal/scheduler"
)

// relayTimeout bounds a request that a control VM relays to the holder of the term. It also
// is the probe of a holder that did not answer a router: a holder answers within
// maxAnswerWait, and a stream waits meanwhile.
const relayTimeout = 100 * time.Millisecond

// termState is a control VM's state of terms. Safe for concurrent use.
type termState struct {
	self string
	log  zerolog.Logger
	// changed is called after the term held here has changed, and announce after a claim.
	changed, announce func()

	mu      sync.Mutex
	control *decider.Control
}

func newTermState(self string, log zerolog.Logger, changed, announce func()) *termState {
	timings := decider.Timings{Heartbeat: HeartbeatInterval, Silence: presenceTimeout}
	return &termState{self: self, log: log, changed: changed, announce: announce, control: decider.NewControl(self, timings, time.Now())}
}

// update applies f, claims a term if this VM must, and announces the result.
func (s *termState) update(f func(c *decider.Control, now time.Time)) {
	s.mu.Lock()
	now := time.Now()
	before := s.control.Held()
	f(s.control, now)
	former := s.control.Newest()
	claimed := s.control.Claim(now)
	held, newest := s.control.Held(), s.control.Newest()
	s.mu.Unlock()
	if claimed {
		s.log.Warn().Uint64("term", held.Number).Str("former_holder", former.Holder).Msg("claimed the term; this control VM decides about streams")
		s.announce()
	} else if held != before {
		s.log.Warn().Uint64("term", before.Number).Uint64("newer_term", newest.Number).Str("holder", newest.Holder).Msg("stepped down; another control VM decides about streams")
	}
	if held != before {
		s.changed()
	}
}

func (s *termState) newest() *decider.Term {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.control.Newest()
	return &t
}

func (s *termState) held() decider.Term {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.control.Held()
}

func (s *termState) claims() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.control.Claims()
}

// other returns the term of another control VM that holds the newest one and was heard
// lately.
func (s *termState) other() (decider.Term, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.control.Other(time.Now())
}

// redirect returns the answer to a stream that this VM must not decide about: the holder of
// the term, or the control VM that is to claim one. It returns false if that is this VM,
// which will claim a term as soon as it may.
func (s *termState) redirect() (scheduler.Answer, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	if t, ok := s.control.Other(now); ok {
		return scheduler.Answer{Outcome: scheduler.Moved, Term: t.Number, Holder: t.Holder}, true
	}
	first := s.control.Candidate(now)
	return scheduler.Answer{Outcome: scheduler.Moved, Holder: first}, first != s.self
}

// hear records the term that another control VM stated; nil: it states none.
func (s *termState) hear(vm string, t *decider.Term) {
	s.update(func(c *decider.Control, now time.Time) {
		if t == nil {
			c.Contact(now)
			return
		}
		c.Hear(vm, *t, now)
	})
}

func (s *termState) follows(number uint64, silent string) {
	s.update(func(c *decider.Control, now time.Time) { c.Follows(number, silent, now) })
}

// tick claims a term if the time has come.
func (s *termState) tick() { s.update(func(*decider.Control, time.Time) {}) }

// relay passes a request to the holder of the term, which did not answer the router. It
// returns false if this VM is to answer by itself.
func (s *termState) relay(ctx context.Context, t peer.Transport, router string, request *PlaceRequest) (scheduler.Answer, bool) {
	holder, ok := s.other()
	if !ok || holder.Holder != request.Silent || request.Relayed != "" {
		return scheduler.Answer{}, false
	}
	relayed := *request
	relayed.Relayed, relayed.Silent = router, ""
	ctx, cancel := context.WithTimeout(ctx, relayTimeout)
	defer cancel()
	var a scheduler.Answer
	if err := t.Call(ctx, holder.Holder, peer.KindPlace, relayed, &a); err != nil {
		s.log.Info().Err(err).Str("request", request.Stream.ID).Str("router", router).Uint64("term", holder.Number).Str("holder", holder.Holder).
			Msg("the holder of the term answered neither the router nor this control VM")
		s.update(func(c *decider.Control, _ time.Time) { c.Unanswered(holder.Holder) })
		return scheduler.Answer{}, false
	}
	if a.Holder == "" {
		a.Holder = holder.Holder
	}
	return a, true
}

// relayReport passes a report to the holder of the term, which the router cannot reach.
func (s *termState) relayReport(ctx context.Context, t peer.Transport, router string, report UseReport) {
	holder, ok := s.other()
	if !ok || report.Term == 0 || report.Relayed != "" {
		return
	}
	report.Relayed = router
	ctx, cancel := context.WithTimeout(ctx, relayTimeout)
	defer cancel()
	if err := t.Call(ctx, holder.Holder, peer.KindUseReport, report, nil); err != nil {
		s.log.Debug().Err(err).Str("router", router).Str("holder", holder.Holder).Msg("use of engines could not be relayed; the next report carries it")
	}
}
