package backpressure

import "time"

// Constants of a VM's own view of a server.
const (
	// permitTTL is how long a permit is valid. A VM that was stalled between a permit and
	// the send must not send it among those of later permits.
	permitTTL = 300 * time.Millisecond
	// shareWithoutGranter is the part of a limit that the VMs use together while no control
	// VM answers them. Some control VM may grant the limit to others meanwhile.
	shareWithoutGranter = 0.5
	// pauseRampRate, in requests per second, is the least rate with which sends begin after
	// a pause.
	pauseRampRate = 2
)

// Verdict tells whether a request may be sent to a server.
type Verdict uint8

// The verdicts.
const (
	Send        Verdict = iota // it may be sent
	NeedsPermit                // it may be sent with a permit of a Granter
	// All others withhold the request.

	AtLimit // no permit is to be had now
	AtPause // the server wants no request of this VM now
	AtRamp  // the rate rises again after a limit or a pause
	AtEnd   // the server takes no new work any more
	AtDeath // the server was judged dead and has not been heard since
)

// Withholds reports whether the request must not be sent now.
func (v Verdict) Withholds() bool { return v > NeedsPermit }

// String implements fmt.Stringer.
func (v Verdict) String() string {
	return [...]string{"send", "needs permit", "rate limit", "pause", "rate rises again", "leaving", "judged dead"}[v]
}

// Work is what a request to a server is for.
type Work uint8

// The kinds of work.
const (
	NewWork     Work = iota // a request of a caller
	RunningWork             // a call about what runs on the server, such as a probe
)

// Permit allows one send to a server.
type Permit struct {
	granter string    // the control VM that granted it; empty: this VM's own share
	at      time.Time // zero: no permit was needed
	work    Work
}

// Work returns what the permitted request is for.
func (p Permit) Work() Work { return p.work }

// Server is what a VM knows of the requests that one incarnation of a server accepts. It is
// not safe for concurrent use.
type Server struct {
	limit       Limit
	deniedUntil time.Time // no permit is to be had before
	pausedUntil time.Time // latest end of a pause that the server asked for; zero: ended or none
	leaving     bool
	ramp        ramp // after the end of a limit or a pause
	rejections  rejections

	sends     uint64            // under a rate limit
	byGranter map[string]uint64 // sends by the control VM that permitted them
	share     share             // permits of this VM's own while no Granter answers
}

// Change tells how a statement changed what is known of a server.
type Change uint8

// The changes.
const (
	Unchanged Change = iota
	LimitLearned
	LimitChanged
	LimitEnded
	PauseLearned
	PauseEnded
	LeavingLearned
	FragilityLearned
	FragilityEnded
)

// String implements fmt.Stringer.
func (c Change) String() string {
	return [...]string{"unchanged", "rate limit learned", "rate limit changed", "rate limit ended", "server asks for a pause", "pause ended", "server states that it leaves", "server states a rejection limit", "rejection limit ended"}[c]
}

// Blank reports whether nothing is known of the server and nothing was sent under a limit.
func (s *Server) Blank() bool {
	return s.limit.NamedAt.IsZero() && s.pausedUntil.IsZero() && !s.leaving && s.sends == 0 && s.ramp.start.IsZero() && s.rejections.limit.NamedAt.IsZero()
}

// Learn takes what an answer states. sent is when its request was sent, and vms the number of
// VMs that send, this one included.
func (s *Server) Learn(st Statement, vms int, sent, now time.Time) []Change {
	var out []Change
	if c := s.setLimit(s.limit.learn(st.Limit, sent, now), vms, now); c != Unchanged {
		out = append(out, c)
	}
	if c := s.setPause(st.Pause.For, now); c != Unchanged {
		out = append(out, c)
	}
	if c := s.learnRejections(st.Rejections, sent, now); c != Unchanged {
		out = append(out, c)
	}
	if st.Leaving && s.LearnLeaving() != Unchanged {
		out = append(out, LeavingLearned)
	}
	return out
}

// setPause takes a pause that the server asks for. Of several the latest end holds.
func (s *Server) setPause(pause time.Duration, now time.Time) Change {
	until := now.Add(pause)
	if pause <= 0 || !until.After(s.pausedUntil) {
		return Unchanged
	}
	known := s.Paused(now)
	s.pausedUntil = until
	s.ramp.begin(max(pauseRampRate, 1/pause.Seconds()), until)
	if known {
		return Unchanged
	}
	return PauseLearned
}

// Paused reports whether the server wants no request of this VM now.
func (s *Server) Paused(now time.Time) bool { return now.Before(s.pausedUntil) }

// LearnLeaving takes from another VM that the server leaves.
func (s *Server) LearnLeaving() Change {
	if s.leaving {
		return Unchanged
	}
	s.leaving = true
	return LeavingLearned
}

// Leaving reports whether the server has stated that it leaves.
func (s *Server) Leaving() bool { return s.leaving }

// LearnLimit takes what another VM knows of the limit.
func (s *Server) LearnLimit(l Limit, vms int, now time.Time) Change {
	return s.setLimit(s.limit.Merge(l), vms, now)
}

// Limit returns what is known of the server's rate limit.
func (s *Server) Limit() Limit { return s.limit }

func (s *Server) setLimit(l Limit, vms int, now time.Time) Change {
	former := s.limit
	s.limit = l
	switch {
	case !former.InForce() && l.InForce():
		return LimitLearned
	case former.InForce() && !l.InForce():
		s.deniedUntil = time.Time{}
		if !s.Paused(now) { // a ramp begins at the end of the pause
			s.ramp.begin(max(former.Rate, minRate)/float64(max(1, vms)), now)
		}
		return LimitEnded
	case l.InForce() && former.Rate != l.Rate:
		return LimitChanged
	}
	return Unchanged
}

// Check tells whether a request may be sent to the server. A leaving server takes no new work,
// and what runs there goes on.
func (s *Server) Check(w Work, now time.Time) Verdict {
	if s.leaving && w == NewWork {
		return AtEnd
	}
	v, _ := s.check(now)
	return v
}

// WithheldUntil returns when the server may accept requests again, unless it leaves; zero: it
// does now.
func (s *Server) WithheldUntil(now time.Time) time.Time {
	_, until := s.check(now)
	return until
}

// check returns the verdict, and until when the request is withheld.
func (s *Server) check(now time.Time) (Verdict, time.Time) {
	switch {
	case s.Paused(now):
		return AtPause, s.pausedUntil
	case s.limit.InForce() && now.Before(s.deniedUntil):
		return AtLimit, s.deniedUntil
	case s.limit.InForce():
		return NeedsPermit, time.Time{}
	}
	if until := s.ramp.waitUntil(now); !until.IsZero() {
		return AtRamp, until
	}
	return Send, time.Time{}
}

// Unlimited returns the permit for a send to a server without a rate limit.
func (s *Server) Unlimited(w Work) Permit { return Permit{work: w} }

// Granted returns the permit that a control VM granted.
func (s *Server) Granted(w Work, granter string, now time.Time) Permit {
	s.share = share{}
	return Permit{granter: granter, at: now, work: w}
}

// Denied records that no permit is to be had for a while, at least minWait.
func (s *Server) Denied(wait time.Duration, now time.Time) {
	s.deniedUntil = now.Add(max(wait, minWait))
}

// TakeShare returns a permit of this VM's own share while no control VM answers. vms is the
// number of VMs that send, this one included; 1: it shares the limit with no other. draw is
// a random number in [0, 1).
func (s *Server) TakeShare(w Work, vms int, draw float64, now time.Time) (Permit, bool) {
	rate := s.limit.Rate
	if vms > 1 {
		rate *= shareWithoutGranter
	}
	if wait := s.share.take(max(rate, minRate)/float64(max(1, vms)), draw, now); wait > 0 {
		s.Denied(min(wait, maxWait), now)
		return Permit{}, false
	}
	return Permit{at: now, work: w}, true
}

// Use reports whether a request may be sent now with a permit, and counts the send. It must
// be called right before the request is written: the server may have stated a limit or asked
// for a pause since the permit was given.
func (s *Server) Use(p Permit, now time.Time) bool {
	switch s.Check(p.work, now) {
	case Send:
		s.ramp.sent++
		return true
	case NeedsPermit, AtLimit:
		return s.usePermit(p, now)
	}
	return false
}

func (s *Server) usePermit(p Permit, now time.Time) bool {
	if p.at.IsZero() || now.Sub(p.at) > permitTTL {
		return false
	}
	s.sends++
	if p.granter != "" {
		if s.byGranter == nil {
			s.byGranter = map[string]uint64{}
		}
		s.byGranter[p.granter]++
	}
	return true
}

// EndPause forgets a pause that has ended. It returns PauseEnded once for each.
func (s *Server) EndPause(now time.Time) Change {
	if s.pausedUntil.IsZero() || s.Paused(now) {
		return Unchanged
	}
	s.pausedUntil = time.Time{}
	return PauseEnded
}

// SentElsewhere returns how many requests were sent under a rate limit without a permit of
// the given control VM.
func (s *Server) SentElsewhere(granter string) uint64 { return s.sends - s.byGranter[granter] }
