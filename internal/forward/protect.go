package forward

import (
	"context"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/amaranthshelf/amaranthshelf/internal/placement"
	"github.com/amaranthshelf/amaranthshelf/internal/rollout"
	"github.com/amaranthshelf/amaranthshelf/internal/upstream"
)

// The load pattern. Zones are lost one after the other, some seconds apart. The
// first loss takes the copies of runs in other zones with it; those runs go on and
// look well, and the second loss, or the engine's own death, finds them without a
// copy: their prompts are read anew by engines that are full just then.
//
// So a run whose keeper is lost gets another copy while it goes on. It does not wait
// for the list: that names dead engines for two seconds more, and with the look at it
// the second zone may be lost by then.

// Figures of protection.
const (
	// protectLook is how often a run looks whether its keeper is still there: a small
	// part of the three seconds between two losses.
	protectLook = 400 * time.Millisecond
	// renewShare of a copy's life: it is brought up to date by then. Only what is new
	// is copied.
	renewShare = 0.6
	// orderTimeout: copies of a zone's runs queue behind one another on the links.
	orderTimeout = 1 * time.Second
	// unstatedLife is for engines that do not say how long they keep a copy.
	unstatedLife = 4 * time.Second
)

// protection is the copy of a run.
type protection struct {
	keeper *upstream.Server
	copy   Copy
	renew  time.Time // zero: the engine keeps it up to date itself
}

// shield keeps a run protected.
type shield struct {
	now     protection
	ordered chan protection // of the order under way; nil: none
}

// look begins an order where the run's copy is lost or growing old.
func (r *run) look() {
	e := r.st.q.service.Engine
	if e == nil || !e.CopiesOnOrder || r.passed == 0 || r.shield.ordered != nil {
		return
	}
	held := r.shield.now
	lost := held.keeper == nil || r.st.h.o.Fleet.Lost(held.keeper)
	switch {
	case lost || !r.st.mayKeep(held.keeper):
		r.order(r.st.chooseKeeper(r.server))
	case !held.renew.IsZero() && time.Now().After(held.renew):
		r.order(held.keeper)
	}
}

// order has the run's engine copy its memory, beside the run.
func (r *run) order(keeper *upstream.Server) {
	if keeper == nil {
		return
	}
	life := r.st.q.service.Engine.CopyLife
	if life <= 0 {
		life = unstatedLife
	}
	ordered := make(chan protection, 1)
	r.shield.ordered = ordered
	// The order goes on when the run ends: only its answer has the name by which the
	// copy can be dropped.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(r.st.q.ctx), orderTimeout)
	go func() {
		defer cancel()
		p := protection{renew: time.Now().Add(time.Duration(renewShare * float64(life)))}
		if name := r.st.h.orderCopy(ctx, r.server, r.st.q.RequestID, keeper.Address); name != "" {
			p.keeper, p.copy = keeper, Copy{Address: r.server.Address, ID: name}
		}
		ordered <- p
	}()
}

// protected takes the outcome of an order.
func (r *run) protected(p protection) {
	r.shield.ordered = nil
	if p.keeper == nil {
		return // asked again with the next look
	}
	r.st.h.Stats.CopiesOrdered.Inc()
	if p.keeper != r.shield.now.keeper {
		r.setKeeper(p.keeper)
	}
	r.shield.now = p
	r.st.h.kept.put(r.st.q.RequestID, r.leaves())
	r.st.h.o.Log.Info().Str("request", r.st.q.RequestID).Str("engine", r.server.ID).Str("keeper", p.keeper.ID).
		Int("passed", r.passed).Msg("copy ordered")
}

// setKeeper moves the memory that the copy takes to another engine's account.
func (r *run) setKeeper(keeper *upstream.Server) {
	fleet := r.st.h.o.Fleet
	if r.shield.now.keeper != nil {
		fleet.Release(r.shield.now.keeper, r.kept)
	}
	r.kept = placement.CopyUsage(r.st.need)
	fleet.Take(keeper, r.kept)
	r.shield.now.keeper = keeper
}

// unprotect has the engine forget a copy that was made on order: nobody will use
// it, and it takes memory and a slot at its keeper for seconds more. A copy that
// the engine keeps by itself ends with the run.
func (r *run) unprotect() {
	h, s, p, ordered := r.st.h, r.server, r.shield.now, r.shield.ordered
	go func() {
		h.dropCopy(s, p)
		if ordered != nil {
			h.dropCopy(s, <-ordered)
		}
	}()
}

// dropCopy has an engine forget a copy that it made on order.
func (h *Handler) dropCopy(s *upstream.Server, p protection) {
	if p.renew.IsZero() || p.keeper == nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), orderTimeout)
	defer cancel()
	method, uri := h.o.Wire.CopyDrop(p.copy.ID)
	r := upstream.Request{Method: method, URI: uri, Host: s.Address, Header: http.Header{}}
	if _, _, err := h.o.Pool.Do(ctx, s.ID, s.Address, &r); err != nil {
		h.o.Log.Debug().Err(err).Str("engine", s.ID).Msg("copy not dropped; it expires")
	}
}

// orderCopy asks an engine for a copy and returns its name, or "".
func (h *Handler) orderCopy(ctx context.Context, s *upstream.Server, requestID, to string) string {
	method, uri, body := h.o.Wire.CopyOrder(requestID, to)
	header := http.Header{"Content-Type": {"application/json"}}
	resp, text, err := h.o.Pool.Do(ctx, s.ID, s.Address, &upstream.Request{Method: method, URI: uri, Host: s.Address, Header: header, Body: body})
	if err != nil {
		h.o.Log.Info().Err(err).Str("request", requestID).Str("engine", s.ID).Msg("no copy on order")
		return ""
	}
	return h.o.Wire.ReadCopy(resp.StatusCode, text)
}

// keeperFor is the engine that keeps a copy of the run that is about to start, as it
// was granted, or as this VM chooses.
func (st *stream) keeperFor(c *chosen) *upstream.Server {
	if !c.granted {
		return st.chooseKeeper(c.server)
	}
	if c.grant.BackupEngine == "" {
		return nil
	}
	return st.h.o.Fleet.Lookup(c.grant.BackupEngine)
}

// keepVersions are the versions whose engines may keep copies of the stream's run.
func (st *stream) keepVersions() rollout.Versions {
	v := st.h.o.Rollouts.State().CopyVersions(st.q.service.Name, st.q.choice)
	v.ServerShare = 0 // copies are spread over all engines
	return v
}

// mayKeep reports whether an engine may go on keeping a copy of the run.
func (st *stream) mayKeep(keeper *upstream.Server) bool {
	v := st.keepVersions()
	return v.Only == "" || v.Only == keeper.Version
}

// permits reports whether the roll-outs let an engine run the stream.
func (st *stream) permits(s *upstream.Server) bool {
	return st.h.o.Rollouts.State().Permits(st.q.service.Name, s.Version)
}

// leavesVersion reports whether the run is to go on at the new version's engine that
// keeps its copy.
func (r *run) leavesVersion() bool {
	q, keeper := r.st.q, r.shield.now.keeper
	if keeper == nil || !r.st.h.o.Rollouts.State().MustMove(q.service.Name, q.choice) {
		return false
	}
	return r.server.Version != keeper.Version && r.st.mayKeep(keeper) && !r.st.h.o.Fleet.Lost(keeper)
}

// chooseKeeper picks the engine that keeps a copy of a run on s, where the route
// may resume and the service's engines keep copies.
func (st *stream) chooseKeeper(s *upstream.Server) *upstream.Server {
	if !st.mayCopy() || st.h.isShort(st.q.service.Name) {
		return nil
	}
	skip := map[string]bool{s.ID: true}
	for id := range st.skip {
		skip[id] = true
	}
	servers, candidates := st.h.o.Fleet.Candidates(st.q.service.Name, st.keepVersions(), st.kvTokens(), skip)
	if i := placement.ChooseBackupEngine(candidates, s.Zone, st.need, rand.IntN); i >= 0 {
		return servers[i]
	}
	return nil
}
