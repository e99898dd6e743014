package upstream

import (
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/amaranthshelf/amaranthshelf/internal/backpressure"
	"github.com/amaranthshelf/amaranthshelf/internal/rollout"
)

// statementTTL is how long the statements of a server that is not listed are remembered. The
// list may lack a running server for a while.
const statementTTL = 10 * time.Minute

// incarnation is what one incarnation of a server states about itself, listed or not.
type incarnation struct {
	backpressure.Server
	lastListed time.Time
}

// incarnationOf returns what is known of an incarnation. It needs f.mu.
func (f *Fleet) incarnationOf(key incarnationKey) *incarnation {
	v := f.incarnations[key]
	if v == nil {
		v = &incarnation{lastListed: f.now()}
		f.incarnations[key] = v
	}
	return v
}

// current returns the incarnation that the list names for an id. It needs f.mu.
func (f *Fleet) current(id string) incarnationKey {
	if row := f.list.lookup(id); row != nil {
		return row.incarnation()
	}
	return incarnationKey{id: id}
}

// listedAs returns the row of the list that names an incarnation, or nil. It needs f.mu.
func (f *Fleet) listedAs(key incarnationKey) *Backend {
	if row := f.list.lookup(key.id); row != nil && row.incarnation() == key {
		return row
	}
	return nil
}

// isFormer reports whether the list names another incarnation of the same server. It needs f.mu.
func (f *Fleet) isFormer(key incarnationKey) bool {
	return f.list.lookup(key.id) != nil && f.listedAs(key) == nil
}

// expireIncarnations forgets the listed incarnations that have stated nothing and are not in
// use, and those that have not been listed for statementTTL. It needs f.mu.
func (f *Fleet) expireIncarnations() {
	now := f.now()
	for key, v := range f.incarnations {
		listed := f.listedAs(key) != nil
		switch {
		case listed && v.Blank() && f.servers[key.id] == nil:
			delete(f.incarnations, key)
		case listed:
			v.lastListed = now
		case now.Sub(v.lastListed) > statementTTL:
			delete(f.incarnations, key)
		}
	}
}

// listedIDs returns the ids of the listed servers whose statements match, sorted. It needs
// f.mu.
func (f *Fleet) listedIDs(match func(*incarnation) bool) []string {
	var out []string
	for key, v := range f.incarnations {
		if match(v) && f.listedAs(key) != nil {
			out = append(out, key.id)
		}
	}
	slices.Sort(out)
	return out
}

// LearnStatement takes what a server states about itself in the answer to a request, which
// was sent at the given time.
func (f *Fleet) LearnStatement(s *Server, st backpressure.Statement, request string, sent time.Time) {
	f.mu.Lock()
	changes := s.accepts.Learn(st, f.routerCount.most(), sent, f.now())
	rate := s.accepts.Limit().Rate
	f.noteFragile(s)
	f.mu.Unlock()
	if st.Limit.Kind == backpressure.LimitUnreadable || st.Rejections.Kind == backpressure.LimitUnreadable || st.Pause.Unreadable {
		f.log.Warn().Str("server", s.ID).Str("request", request).Msg("server states a rate limit, a rejection limit or a pause that cannot be read; keeping the former one")
	}
	for _, c := range changes {
		f.log.Info().Str("server", s.ID).Str("service", s.Service).Str("request", request).Float64("rate", rate).Float64("rejections", st.Rejections.Rate).Dur("pause", st.Pause.For).Msg(c.String())
	}
}

// LearnLimits takes what other VMs know of rate limits, by server id.
func (f *Fleet) LearnLimits(limits map[string]backpressure.Limit) {
	f.mu.Lock()
	changes := map[string]backpressure.Change{}
	for id, l := range limits {
		if c := f.incarnationOf(f.current(id)).LearnLimit(l, f.routerCount.most(), f.now()); c != backpressure.Unchanged {
			changes[id] = c
		}
	}
	f.mu.Unlock()
	for id, c := range changes {
		f.log.Info().Str("server", id).Str("from", "other VMs").Float64("rate", limits[id].Rate).Msg(c.String())
	}
}

// LearnLeaving takes the incarnations of servers that have told another VM that they leave.
func (f *Fleet) LearnLeaving(names []string) {
	f.mu.Lock()
	var learned []string
	for _, name := range names {
		key := parseIncarnation(name)
		if f.incarnationOf(key).LearnLeaving() != backpressure.Unchanged {
			learned = append(learned, key.id)
		}
	}
	f.mu.Unlock()
	for _, id := range learned {
		f.log.Info().Str("server", id).Str("from", "other VMs").Msg(backpressure.LeavingLearned.String())
	}
}

// Leaving returns the incarnations of the listed servers that have stated that they leave. VMs that
// reported servers that are gone would keep them in one another's memory for good.
func (f *Fleet) Leaving() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	out := f.listedIDs(func(v *incarnation) bool { return v.Leaving() })
	for i, id := range out {
		out[i] = f.list.lookup(id).Incarnation()
	}
	return out
}

// Limits returns what is known of the rate limits of listed servers, by server id.
func (f *Fleet) Limits() map[string]backpressure.Limit {
	f.mu.Lock()
	defer f.mu.Unlock()
	out := map[string]backpressure.Limit{}
	for key, v := range f.incarnations {
		if l := v.Limit(); !l.NamedAt.IsZero() && f.listedAs(key) != nil {
			out[key.id] = l
		}
	}
	return out
}

// LimitsInForce returns the number of servers whose rate limit is in force.
func (f *Fleet) LimitsInForce() int {
	n := 0
	for _, l := range f.Limits() {
		if l.InForce() {
			n++
		}
	}
	return n
}

// Paused returns the number of listed servers that want no request of this VM now.
func (f *Fleet) Paused() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.now()
	return len(f.listedIDs(func(v *incarnation) bool { return v.Paused(now) }))
}

// CheckSend tells whether a request may be sent to a server now, and its rate limit.
func (f *Fleet) CheckSend(s *Server, w backpressure.Work) (backpressure.Verdict, backpressure.Limit) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.withholdsWork(s, w) {
		return backpressure.AtEnd, s.accepts.Limit()
	}
	if s.dead != nil && w == backpressure.NewWork {
		return backpressure.AtDeath, s.accepts.Limit()
	}
	return s.accepts.Check(w, f.now()), s.accepts.Limit()
}

// Unlimited returns the permit for a send to a server without a rate limit.
func (f *Fleet) Unlimited(s *Server, w backpressure.Work) backpressure.Permit {
	return s.accepts.Unlimited(w)
}

// Granted returns the permit for a send that a control VM granted.
func (f *Fleet) Granted(s *Server, w backpressure.Work, granter string) backpressure.Permit {
	f.mu.Lock()
	defer f.mu.Unlock()
	return s.accepts.Granted(w, granter, f.now())
}

// Denied records that no permit for a server is to be had for a while.
func (f *Fleet) Denied(s *Server, wait time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	s.accepts.Denied(wait, f.now())
}

// TakeShare returns a permit of this VM's own share of a rate limit, while no control VM
// answers.
func (f *Fleet) TakeShare(s *Server, w backpressure.Work) (backpressure.Permit, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return s.accepts.TakeShare(w, f.routerCount.most(), rand.Float64(), f.now())
}

// UsePermit reports whether a request may be sent to a server now, and counts the send. It
// must be called right before the request is written.
func (f *Fleet) UsePermit(s *Server, p backpressure.Permit) bool {
	f.mu.Lock()
	if (s.cordoned || s.dead != nil) && p.Work() == backpressure.NewWork {
		f.mu.Unlock()
		return false
	}
	now := f.now()
	ok, change := s.accepts.Use(p, now), s.accepts.EndPause(now)
	f.mu.Unlock()
	if change != backpressure.Unchanged {
		f.log.Info().Str("server", s.ID).Str("service", s.Service).Msg(change.String())
	}
	return ok
}

// SentElsewhere returns, by server id, how many requests were sent under a rate limit without
// a permit of the given control VM.
func (f *Fleet) SentElsewhere(granter string) map[string]uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	var out map[string]uint64
	for key, v := range f.incarnations {
		if n := v.SentElsewhere(granter); n > 0 && v.Limit().InForce() && !f.isFormer(key) {
			if out == nil {
				out = map[string]uint64{}
			}
			out[key.id] = n
		}
	}
	return out
}

// Withheld returns the ids of the servers that must not be sent any request now.
func (f *Fleet) Withheld() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.now()
	out := slices.AppendSeq(f.listedIDs(func(v *incarnation) bool { return v.withheld(now) }), maps.Keys(f.cordons.ids))
	slices.Sort(out)
	return slices.Compact(out)
}

// AcceptedAgainAt returns when the first of a service's servers that are withheld now accepts
// requests again; zero: none is withheld. skip excludes servers by id.
func (f *Fleet) AcceptedAgainAt(service string, v rollout.Versions, skip map[string]bool) time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	versions, now := v.Of(f.list.versions[service]), f.now()
	var first time.Time
	for key, stated := range f.incarnations {
		row := f.listedAs(key)
		if row == nil || row.Service != service || !slices.Contains(versions, row.Version) || !f.inService(row) || skip[row.ID] {
			continue
		}
		at := stated.WithheldUntil(now)
		if f.isDead(row.ID, now) {
			at = latest(at, f.servers[row.ID].dead.nextProbe.Add(deadProbeTime))
		}
		if !at.IsZero() && (first.IsZero() || at.Before(first)) {
			first = at
		}
	}
	return first
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// withheld reports whether the server must not be sent any request now.
func (v *incarnation) withheld(now time.Time) bool {
	return v.Check(backpressure.NewWork, now).Withholds()
}

// routerCountTTL is how long a larger number of routers counts after it was known. Routers
// that are not heard from may still send.
const routerCountTTL = 30 * time.Second

// routerCount is the number of VMs that send requests, as last known.
type routerCount struct {
	highest int
	at      time.Time
}

func (c *routerCount) set(n int, now time.Time) {
	if n >= c.highest || now.Sub(c.at) > routerCountTTL {
		c.highest, c.at = n, now
	}
}

// most returns the largest number known within routerCountTTL, at least 1.
func (c *routerCount) most() int { return max(1, c.highest) }
