package cluster

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/amaranthshelf/amaranthshelf/internal/backpressure"
	"github.com/amaranthshelf/amaranthshelf/internal/codec"
	"github.com/amaranthshelf/amaranthshelf/internal/forward"
	"github.com/amaranthshelf/amaranthshelf/internal/peer"
)

const (
	// granterTimeout bounds one request for a permit or a trial. A call waits for it, and its
	// objective may be a tenth of a second.
	granterTimeout = 50 * time.Millisecond
	// granterAttempts is how many control VMs are asked.
	granterAttempts = 2
	// silentGranterTime is how long a control VM that did not answer is not asked again.
	silentGranterTime = 500 * time.Millisecond
	// endedLimitTTL is how long the end of a limit is reported.
	endedLimitTTL = 10 * time.Second
	// limitTTL is how long a limit is kept that no VM reports or asks for. A server that is
	// in need names its limit in each answer.
	limitTTL = 10 * time.Minute
)

// ServerLimit is what a VM knows of a server's rate limit. Its times are ages, because the
// VMs' clocks may differ.
type ServerLimit struct {
	Server     string  `cbor:"1,keyasint"`
	Rate       float64 `cbor:"2,keyasint"`
	NamedAgeMS int64   `cbor:"3,keyasint"`
	// EndedAgeMS is the age of the latest request that was answered without a limit. It is
	// valid if HasEnded is set.
	EndedAgeMS int64 `cbor:"4,keyasint,omitempty"`
	HasEnded   bool  `cbor:"5,keyasint,omitempty"`
}

func encodeLimit(server string, l backpressure.Limit, now time.Time) ServerLimit {
	out := ServerLimit{Server: server, Rate: l.Rate, NamedAgeMS: now.Sub(l.NamedAt).Milliseconds()}
	if !l.EndedAt.IsZero() {
		out.HasEnded, out.EndedAgeMS = true, now.Sub(l.EndedAt).Milliseconds()
	}
	return out
}

// decode returns the limit as of its arrival. The time that the message took is not known.
// The end of a limit is dated back by the longest time that it may have taken, since a limit
// must not end by a request that was sent before it was named.
func (s ServerLimit) decode(now time.Time) backpressure.Limit {
	l := backpressure.Limit{Rate: s.Rate, NamedAt: now.Add(-time.Duration(s.NamedAgeMS) * time.Millisecond)}
	if s.HasEnded {
		l.EndedAt = now.Add(-time.Duration(s.EndedAgeMS)*time.Millisecond - heartbeatTimeout)
	}
	return l
}

// PermitRequest asks for a permit for one send to a server with a rate limit.
type PermitRequest struct {
	Limit ServerLimit `cbor:"1,keyasint"`
}

// PermitReply grants a permit, or states when to ask again. Limit is what the control VM
// knows of the limit; it may have changed or ended.
type PermitReply struct {
	Granted bool        `cbor:"1,keyasint,omitempty"`
	WaitMS  int64       `cbor:"2,keyasint,omitempty"`
	Limit   ServerLimit `cbor:"3,keyasint"`
}

// permitService holds the rate limits that VMs reported to a control VM, and grants permits
// for them. The Hub guards it.
type permitService struct {
	granter *backpressure.Granter
	limits  map[string]*knownLimit
	// elsewhere holds the last SentElsewhere of each incarnation of a router.
	elsewhere map[uint64]reportedSends
}

type knownLimit struct {
	backpressure.Limit
	reportedAt time.Time
}

type reportedSends struct {
	sends map[string]uint64
	at    time.Time
}

func newPermitService() *permitService {
	return &permitService{granter: backpressure.NewGranter(rand.Float64), limits: map[string]*knownLimit{}, elsewhere: map[uint64]reportedSends{}}
}

// learn merges what a VM knows of a limit and returns the result.
func (p *permitService) learn(s ServerLimit, now time.Time) backpressure.Limit {
	k := p.limits[s.Server]
	if k == nil {
		k = &knownLimit{}
		p.limits[s.Server] = k
	}
	k.Limit, k.reportedAt = k.Merge(s.decode(now)), now
	return k.Limit
}

// receive takes the limits of a heartbeat and debits the sends that others permitted.
func (p *permitService) receive(heartbeat *Heartbeat, now time.Time) {
	for _, s := range heartbeat.Limits {
		p.learn(s, now)
	}
	p.expire(now)
	incarnation := heartbeat.Spent.Incarnation
	if incarnation == 0 || len(heartbeat.SentElsewhere) == 0 {
		return
	}
	// A control VM that has just started does not know which sends are recent.
	last, known := p.elsewhere[incarnation]
	for server, sends := range heartbeat.SentElsewhere {
		if before := last.sends[server]; known && sends > before {
			p.granter.Debit(server, sends-before, now)
		}
	}
	p.elsewhere[incarnation] = reportedSends{heartbeat.SentElsewhere, now}
}

func (p *permitService) expire(now time.Time) {
	for id, k := range p.limits {
		if now.Sub(k.reportedAt) > limitTTL {
			delete(p.limits, id)
		}
	}
	for incarnation, s := range p.elsewhere {
		if now.Sub(s.at) > forgetAfter {
			delete(p.elsewhere, incarnation)
		}
	}
	p.granter.Forget(func(server string) bool { return p.limits[server] != nil })
}

// report returns the limits that are in force or ended within endedLimitTTL.
func (p *permitService) report(now time.Time) []ServerLimit {
	var out []ServerLimit
	for id, k := range p.limits {
		if k.InForce() || now.Sub(k.EndedAt) < endedLimitTTL {
			out = append(out, encodeLimit(id, k.Limit, now))
		}
	}
	return out
}

// take decides about a request for a permit.
func (p *permitService) take(vm string, request ServerLimit, now time.Time) PermitReply {
	l := p.learn(request, now)
	reply := PermitReply{Granted: true, Limit: encodeLimit(request.Server, l, now)}
	if !l.InForce() {
		return reply
	}
	if wait := p.granter.Take(request.Server, vm, l.Rate, now); wait > 0 {
		reply.Granted, reply.WaitMS = false, max(1, wait.Milliseconds())
	}
	return reply
}

func (h *Hub) servePermit(_ context.Context, from string, body []byte) (any, error) {
	var request PermitRequest
	if err := codec.Unmarshal(body, &request); err != nil {
		return nil, err
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	now := time.Now()
	h.permits.granter.SetShare(h.presentShare(now))
	return h.permits.take(from, request.Limit, now), nil
}

// presentShare returns the part of the routers that sent a heartbeat recently. A router that
// announced its shutdown is not counted. It needs h.mu.
func (h *Hub) presentShare(now time.Time) float64 {
	known, present := 0, 0
	for _, v := range h.vms {
		if !v.acceptsCallers() {
			continue
		}
		known++
		if now.Sub(v.at) <= presenceTimeout {
			present++
		}
	}
	if known == 0 {
		return 1
	}
	return float64(present) / float64(known)
}

// statementState is what a Member knows of permits, rate limits and leaving servers. Safe for
// concurrent use.
type statementState struct {
	silent silentVMs

	mu          sync.Mutex
	told        map[string]backpressure.Limit // by the last Summary
	toldLeaving []string                      // by the last Summary
}

var _ forward.Permits = (*Member)(nil)

// RequestPermit implements forward.Permits. It asks the scheduling control VM, and its
// successor if that does not answer.
func (m *Member) RequestPermit(ctx context.Context, server string, l backpressure.Limit) (forward.PermitAnswer, bool) {
	request := PermitRequest{Limit: encodeLimit(server, l, time.Now())}
	var reply PermitReply
	vm, answered := m.askGranter(ctx, &m.statements.silent, peer.KindPermit, request, &reply)
	if !answered {
		return forward.PermitAnswer{}, false
	}
	return forward.PermitAnswer{
		Granter: vm, Granted: reply.Granted, Wait: time.Duration(reply.WaitMS) * time.Millisecond, Limit: reply.Limit.decode(time.Now()),
	}, true
}

// askGranter sends a request to the scheduling control VM, and to its successor if that does
// not answer. VMs in silent are not asked. It returns the VM that answered; false: none did.
func (m *Member) askGranter(ctx context.Context, silent *silentVMs, kind peer.Kind, request, reply any) (vm string, answered bool) {
	for _, vm := range m.schedulers(granterAttempts) {
		if silent.contains(vm) {
			continue
		}
		callCtx, cancel := context.WithTimeout(ctx, granterTimeout)
		err := m.t.Call(callCtx, vm, kind, request, reply)
		cancel()
		if err == nil {
			return vm, true
		}
		if ctx.Err() != nil {
			break
		}
		silent.add(vm, silentGranterTime)
		m.log.Debug().Err(err).Str("control", vm).Int("kind", int(kind)).Msg("no answer to a request for a permit or a trial")
	}
	return "", false
}

// newLimits returns the limits that the control VMs do not know as this VM does.
func (m *Member) newLimits() []ServerLimit {
	if m.local.Limits == nil {
		return nil
	}
	m.statements.mu.Lock()
	defer m.statements.mu.Unlock()
	var out []ServerLimit
	for id, l := range m.local.Limits() {
		told, known := m.statements.told[id]
		same := known && told.Rate == l.Rate && told.InForce() == l.InForce()
		if !same && (l.InForce() || time.Since(l.EndedAt) < endedLimitTTL) {
			out = append(out, encodeLimit(id, l, time.Now()))
		}
	}
	return out
}

// learnLimits takes the limits of a Summary.
func (m *Member) learnLimits(limits []ServerLimit) {
	told := make(map[string]backpressure.Limit, len(limits))
	for _, s := range limits {
		told[s.Server] = s.decode(time.Now())
	}
	m.statements.mu.Lock()
	m.statements.told = told
	m.statements.mu.Unlock()
	if m.local.LearnLimits != nil {
		m.local.LearnLimits(told)
	}
}
