package forward

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/amaranthshelf/amaranthshelf/internal/backpressure"
	"github.com/amaranthshelf/amaranthshelf/internal/callqueue"
	"github.com/amaranthshelf/amaranthshelf/internal/result"
	"github.com/amaranthshelf/amaranthshelf/internal/upstream"
)

// CallGrants grants servers to calls on behalf of all VMs. A grant permits the choice of a
// server; whether a call may be sent at all is decided by its SendHistory.
type CallGrants interface {
	// GrantCall asks for a server and waits until ctx ends. It returns false if no control VM
	// decides in time; this VM then decides by its own view. avoid are servers that this VM
	// cannot use now. A call that is granted counts as in flight until EndCall.
	GrantCall(ctx context.Context, c callqueue.Call, avoid []string) (callqueue.Answer, bool)
	// AsksForAll reports whether calls must be granted even if this VM expects a free slot,
	// since the last answer for the service was no grant.
	AsksForAll(service string) bool
	// BeginCall counts a call that is sent without a grant.
	BeginCall(service, server string)
	// EndCall ends a call that counts as in flight, sent or not.
	EndCall(service, server string, e CallEnd)
}

// CallEnd is what came of a call at a server.
type CallEnd struct {
	Time  time.Duration  // until the answer; 0: none came
	Slots int            // of the server
	Load  *upstream.Load // that the server stated in the answer; nil: none
	// Rejections is what the server states of its refusals, and whether it refused this call; nil:
	// it states nothing.
	Rejections *callqueue.Rejections
}

// localCallGrants are the CallGrants of a VM without control VMs. It grants nothing.
type localCallGrants struct{}

func (localCallGrants) GrantCall(context.Context, callqueue.Call, []string) (callqueue.Answer, bool) {
	return callqueue.Answer{}, false
}
func (localCallGrants) AsksForAll(string) bool          { return false }
func (localCallGrants) BeginCall(string, string)        {}
func (localCallGrants) EndCall(string, string, CallEnd) {}

// grantsCalls reports whether the calls of a request's service are granted over all VMs.
func (h *Handler) grantsCalls(q *request) bool {
	table := h.opts.Routes()
	return table != nil && table.RanksAnyStreams() || h.opts.Fleet.StatesSlowdown(q.service.Name) || h.opts.Fleet.IsFragile(q.service.Name)
}

// asksForGrant reports whether a server must be requested for a call that would meet a load
// at the server with the lowest one. A trial of a version has its own servers, which the
// control VM does not know.
func (h *Handler) asksForGrant(q *request, load float64) bool {
	switch {
	case q.withoutGrant, q.route.Objective <= 0, q.versionChoice.ServerShare > 0, !h.grantsCalls(q):
		return false
	}
	return load > 1 || h.opts.CallGrants.AsksForAll(q.service.Name) || h.opts.Fleet.IsFragile(q.service.Name)
}

// grantCall requests a server for a call. It returns false if this VM must decide by itself.
func (h *Handler) grantCall(q *request, skip map[string]bool, servers []*upstream.Server) (choice serverChoice, code result.Code, decided bool) {
	began := time.Now()
	faulty := h.opts.Fleet.FaultyServers(q.service.Name)
	c := h.grantRequest(q, skip, faulty, servers)
	a, ok := h.opts.CallGrants.GrantCall(q.ctx, c, faulty)
	h.recheckVersion(q, false)
	h.opts.RoutineLog.Info().Str("request", q.RequestID).Str("service", q.service.Name).Bool("decided", ok).Int("outcome", int(a.Outcome)).
		Str("server", a.Server).Uint64("grant", a.Number).Dur("expected", c.Expected).Dur("waited", time.Since(began)).Dur("after", a.After).Msg("server requested for a call")
	switch {
	case ok && a.Outcome == callqueue.Granted:
		return h.useGrant(q, skip, a.Server)
	case q.ctx.Err() != nil:
		return serverChoice{}, result.RouteTimeout, true
	case ok && a.Outcome == callqueue.Refused:
		q.setRetryAfter(a.After)
		return serverChoice{}, result.DeadlineTooSoon, true
	}
	if !ok && q.grantRequests < maxGrantRequests && h.opts.Fleet.IsFragile(q.service.Name) {
		q.grantRequests++
		return serverChoice{}, 0, false // from the next control VM
	}
	h.decideWithoutGrant(q)
	return serverChoice{}, 0, false
}

// maxGrantRequests bounds the control VMs that are asked for a grant of a server that ends if it
// has to refuse many calls.
const maxGrantRequests = 3

// decideWithoutGrant makes this VM decide about a call by its own view.
func (h *Handler) decideWithoutGrant(q *request) {
	q.withoutGrant = true
	h.Stats.CallGrantFallbacks.Inc()
}

// useGrant returns the choice of a granted server. A grant that must not be used is given
// back.
func (h *Handler) useGrant(q *request, skip map[string]bool, id string) (choice serverChoice, code result.Code, decided bool) {
	giveBack := func() { h.opts.CallGrants.EndCall(q.service.Name, id, CallEnd{}) }
	if q.ctx.Err() != nil {
		giveBack()
		return serverChoice{}, result.RouteTimeout, true
	}
	if h.cannotFinish(q) {
		giveBack()
		q.setRetryAfter(otherRouterRetryAfter)
		return serverChoice{}, result.ShuttingDown, true
	}
	var permit backpressure.Permit
	s := h.grantedServer(q, id)
	usable := s != nil && !skip[id]
	if usable {
		permit, usable = h.gate.reserve(q.ctx, s, backpressure.NewWork)
	}
	if !usable {
		giveBack()
		h.decideWithoutGrant(q)
		return serverChoice{}, 0, false
	}
	if q.history.IsRetry() && !h.mayRetry(q, InTime) {
		giveBack()
		return serverChoice{}, result.RetriesSpent, true
	}
	return serverChoice{server: s, load: grantedLoad, permit: permit, granted: true}, 0, true
}

// grantedServer returns the server of a grant; nil: it must not be used. The server may have
// been taken out of service, or left behind by a roll-out, while the call waited.
func (h *Handler) grantedServer(q *request, id string) *upstream.Server {
	s := h.opts.Fleet.Lookup(id)
	if s == nil || s.Service != q.service.Name || !h.opts.Fleet.AllowsVersion(s.Service, q.versionChoice.Versions, s.Version) {
		return nil
	}
	return s
}

// grantedLoad is the load of a granted server: its slots are taken.
const grantedLoad = 1.01

// grantRequest returns the request for a call. servers are those that it may use by this
// VM's view.
func (h *Handler) grantRequest(q *request, skip map[string]bool, faulty []string, servers []*upstream.Server) callqueue.Call {
	exclude := maps.Clone(skip)
	for _, id := range faulty {
		exclude[id] = true
	}
	var sum, n time.Duration
	usable := 0
	for _, s := range servers {
		if t := h.opts.Fleet.ServiceTime(s); t > 0 {
			sum, n = sum+t, n+1
		}
		if !exclude[s.ID] {
			usable++
		}
	}
	if usable == 0 {
		exclude = skip // a server in doubt is better than none
	}
	return callqueue.Call{
		ID: q.RequestID, Service: q.service.Name, Workspace: q.workspace, Versions: h.opts.Fleet.AllowedVersions(q.service.Name, q.versionChoice.Versions),
		Priority: q.priority, Exclude: slices.Sorted(maps.Keys(exclude)), Due: q.dueTime(), Deadline: q.expires, Objective: q.route.Objective, Expected: sum / max(1, n),
	}
}

// beginCall counts a call that is about to be sent, and returns a function that ends it.
func (h *Handler) beginCall(q *request, c *serverChoice) (end func(r *reply, took time.Duration)) {
	grants := h.opts.CallGrants
	if !c.granted {
		if !h.grantsCalls(q) {
			return func(*reply, time.Duration) {}
		}
		grants.BeginCall(q.service.Name, c.server.ID)
	}
	return func(r *reply, took time.Duration) {
		e := CallEnd{Slots: c.server.Slots}
		if r.outcome == sendAnswered {
			e.Time, e.Load = took, r.answer.Load
		}
		if limit, fragile := h.opts.Fleet.RejectionLimit(c.server); fragile {
			e.Rejections = &callqueue.Rejections{Limit: limit}
			if r.outcome == sendRefused && !r.answer.WrongInstance {
				e.Rejections.Count = 1
			}
		}
		grants.EndCall(q.service.Name, c.server.ID, e)
	}
}
