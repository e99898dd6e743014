package cluster

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/amaranthshelf/amaranthshelf/internal/callqueue"
	"github.com/amaranthshelf/amaranthshelf/internal/codec"
	"github.com/amaranthshelf/amaranthshelf/internal/peer"
	"github.com/amaranthshelf/amaranthshelf/internal/scheduler"
)

// Routers ask one control VM for the servers of a service's calls. Which one follows from the
// service's name and the control VMs that answer, as each router sees it. While routers
// disagree, two of them may grant: servers then get at most twice the calls beyond their slots.

// CallGrantRequest asks for a server for one call. Its times are relative to the sending,
// because the VMs' clocks may differ.
type CallGrantRequest struct {
	ID         string         `cbor:"1,keyasint"`
	Service    string         `cbor:"2,keyasint"`
	Workspace  string         `cbor:"3,keyasint,omitempty"`
	Priority   int            `cbor:"4,keyasint,omitempty"`
	Exclude    []string       `cbor:"5,keyasint,omitempty"` // servers that must not be granted
	DueMS      int64          `cbor:"6,keyasint"`
	DeadlineMS int64          `cbor:"7,keyasint"`
	ExpectedMS int64          `cbor:"8,keyasint,omitempty"` // of a call; 0: unknown
	InFlight   map[string]int `cbor:"9,keyasint,omitempty"` // the router's calls, by server
	Seq        uint64         `cbor:"10,keyasint"`          // grows with each request and report
	// Incarnation is that of the router's process.
	Incarnation uint64 `cbor:"11,keyasint"`
	ObjectiveMS int64  `cbor:"12,keyasint,omitempty"`
	// Versions are those of the servers that may run the call. Version is set as well if there is
	// one only, for control VMs that know no list.
	Version  string   `cbor:"13,keyasint,omitempty"`
	Versions []string `cbor:"16,keyasint,omitempty"`
	// LastGrant is the last grant of the receiver that InFlight includes.
	LastGrant uint64   `cbor:"14,keyasint,omitempty"`
	Avoid     []string `cbor:"15,keyasint,omitempty"` // servers that the router cannot use
	// Rejections are the limits of servers that end if they have to refuse many calls, for a control
	// VM that has not been asked before.
	Rejections map[string]ServerRejections `cbor:"17,keyasint,omitempty"`
}

// versions returns the versions of the servers that may run the call.
func (r *CallGrantRequest) versions() []string {
	if len(r.Versions) > 0 {
		return r.Versions
	}
	return []string{r.Version}
}

// CallGrantReply is the answer to a CallGrantRequest. RetryAfterMS is the time until the
// decision at the latest if the call waits.
type CallGrantReply struct {
	Outcome      uint8  `cbor:"1,keyasint"` // a callqueue.Outcome
	Number       uint64 `cbor:"2,keyasint,omitempty"`
	Server       string `cbor:"3,keyasint,omitempty"`
	RetryAfterMS int64  `cbor:"4,keyasint,omitempty"`
}

// CallGrantDecision is the decision about a call that waits.
type CallGrantDecision struct {
	ID      string         `cbor:"1,keyasint"`
	Reply   CallGrantReply `cbor:"2,keyasint"`
	Service string         `cbor:"3,keyasint"`
}

// CallDone reports a router's calls to a service, by server.
type CallDone struct {
	Incarnation uint64         `cbor:"1,keyasint"`
	Seq         uint64         `cbor:"2,keyasint"`
	Done        map[string]int `cbor:"3,keyasint,omitempty"` // answered since the last report
	InFlight    map[string]int `cbor:"4,keyasint,omitempty"`
	Service     string         `cbor:"5,keyasint"`
	LastGrant   uint64         `cbor:"6,keyasint,omitempty"` // as in CallGrantRequest
	// DoneMS is the time of the calls in Done in milliseconds, without waits for a slot and at
	// the server's usual speed.
	DoneMS map[string]float64    `cbor:"7,keyasint,omitempty"`
	Stated map[string]StatedLoad `cbor:"8,keyasint,omitempty"`
	Left   []string              `cbor:"9,keyasint,omitempty"` // waiting calls that need no decision any more
	// Rejections are those of servers that end if they have to refuse many calls.
	Rejections map[string]ServerRejections `cbor:"10,keyasint,omitempty"`
}

// ServerRejections is a callqueue.Rejections.
type ServerRejections struct {
	Limit float64 `cbor:"1,keyasint"`
	Count int     `cbor:"2,keyasint,omitempty"`
}

// StatedLoad is the load that a server stated in an answer.
type StatedLoad struct {
	Requests int     `cbor:"1,keyasint,omitempty"`
	Slowdown float64 `cbor:"2,keyasint,omitempty"`
	AgeMS    int64   `cbor:"3,keyasint,omitempty"`
}

func encodeCallAnswer(a *callqueue.Answer) CallGrantReply {
	return CallGrantReply{Outcome: uint8(a.Outcome), Number: a.Number, Server: a.Server, RetryAfterMS: a.After.Milliseconds()}
}

func (r *CallGrantReply) decode() callqueue.Answer {
	return callqueue.Answer{Outcome: callqueue.Outcome(r.Outcome), Number: r.Number, Server: r.Server, After: milliseconds(r.RetryAfterMS)}
}

func milliseconds(n int64) time.Duration { return time.Duration(n) * time.Millisecond }

// report returns the part of a request that reports the router's calls.
func (r *CallGrantRequest) report() *callqueue.Report {
	return &callqueue.Report{Incarnation: r.Incarnation, Seq: r.Seq, LastGrant: r.LastGrant, InFlight: r.InFlight, Avoid: r.Avoid, Rejections: decodeRejections(r.Rejections)}
}

func decodeRejections(rejections map[string]ServerRejections) map[string]callqueue.Rejections {
	out := make(map[string]callqueue.Rejections, len(rejections))
	for id, r := range rejections {
		out[id] = callqueue.Rejections(r)
	}
	return out
}

func (d *CallDone) report() *callqueue.Report {
	out := &callqueue.Report{
		Incarnation: d.Incarnation, Seq: d.Seq, LastGrant: d.LastGrant, InFlight: d.InFlight,
		Ended: map[string]callqueue.Ended{}, Stated: map[string]callqueue.Stated{}, Rejections: decodeRejections(d.Rejections),
	}
	for id, n := range d.Done {
		out.Ended[id] = callqueue.Ended{Calls: n, Time: time.Duration(d.DoneMS[id] * float64(time.Millisecond))}
	}
	for id, st := range d.Stated {
		out.Stated[id] = callqueue.Stated{Requests: st.Requests, Slowdown: st.Slowdown, Age: milliseconds(st.AgeMS)}
	}
	return out
}

const (
	// callPollInterval is how often waiting calls are examined between reports. Only the end
	// of their time and of a slowdown is found by it.
	callPollInterval = 10 * time.Millisecond
	// grantNumberShift leaves room for a million grants in a millisecond.
	grantNumberShift = 20
)

// callGrantService serves a control VM's queue of calls to the routers. Safe for concurrent
// use.
type callGrantService struct {
	t       peer.Transport
	log     zerolog.Logger
	waiting signal // raised when a call waits

	mu               sync.Mutex
	queue            *callqueue.Queue
	closing          bool // this VM shuts down and grants nothing
	granted, refused uint64
	loggedAt         time.Time
	loggedRefused    uint64
}

// CallTotals are the counters of the calls that a control VM grants.
type CallTotals struct {
	Waiting          int
	Granted, Refused uint64
}

// newCallGrantService returns a service whose grants have higher numbers than those of former
// processes of the VM.
func newCallGrantService(t peer.Transport, log zerolog.Logger) *callGrantService {
	first := uint64(max(0, time.Now().UnixMilli())) << grantNumberShift
	return &callGrantService{t: t, log: log, queue: callqueue.New(first, rand.Float64), waiting: newSignal()}
}

// setServers sets the servers that take new work.
func (c *callGrantService) setServers(all []scheduler.Server) {
	rows := make([]callqueue.Server, len(all))
	for i, s := range all {
		rows[i] = callqueue.Server{ID: s.ID, Service: s.Service, Version: s.Version, Slots: s.Slots}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.queue.SetServers(rows)
}

func (c *callGrantService) serveRequest(_ context.Context, from string, body []byte) (any, error) {
	var r CallGrantRequest
	if err := codec.Unmarshal(body, &r); err != nil {
		return nil, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closing {
		return CallGrantReply{Outcome: uint8(callqueue.NoServer)}, nil
	}
	now := time.Now()
	c.queue.Report(r.Service, from, r.report(), now)
	a := c.queue.Request(callqueue.Call{
		ID: r.ID, Router: from, Service: r.Service, Workspace: r.Workspace, Versions: r.versions(), Priority: r.Priority, Exclude: r.Exclude,
		Due: now.Add(milliseconds(r.DueMS)), Deadline: now.Add(milliseconds(r.DeadlineMS)),
		Objective: milliseconds(r.ObjectiveMS), Expected: milliseconds(r.ExpectedMS),
	}, now)
	if a.Outcome != callqueue.Waiting {
		c.count(a.Outcome)
		return encodeCallAnswer(&a), nil
	}
	if decided := c.decide(r.Service, from, r.ID, now); decided != nil {
		a = *decided
	} else {
		c.waiting.raise()
	}
	return encodeCallAnswer(&a), nil
}

func (c *callGrantService) serveDone(_ context.Context, from string, body []byte) (any, error) {
	var d CallDone
	if err := codec.Unmarshal(body, &d); err != nil {
		return nil, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	c.queue.Report(d.Service, from, d.report(), now)
	c.queue.Leave(d.Service, from, d.Left)
	c.decide(d.Service, "", "", now)
	return nil, nil
}

// forget ends the waiting calls of a silent router. It decides about them by itself if only
// this VM does not hear it, or was frozen.
func (c *callGrantService) forget(router string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, d := range c.queue.Forget(router) {
		c.send(&d)
	}
}

// decide sends the decisions about a service's waiting calls to their routers, and returns
// the one about the call id of a router; nil: there is none. It needs c.mu.
func (c *callGrantService) decide(service, router, id string, now time.Time) *callqueue.Answer {
	var own *callqueue.Answer
	for _, d := range c.queue.Decide(service, now) {
		c.count(d.Outcome)
		if d.Call.Router == router && d.Call.ID == id {
			own = &d.Answer
			continue
		}
		c.send(&d)
	}
	return own
}

func (c *callGrantService) send(d *callqueue.Decision) {
	decision := CallGrantDecision{d.Call.ID, encodeCallAnswer(&d.Answer), d.Call.Service}
	if err := c.t.Send(d.Call.Router, peer.KindCallGrantDecision, decision); err != nil {
		// The router decides by itself, and a grant that it never received expires.
		c.log.Debug().Err(err).Str("request", d.Call.ID).Str("router", d.Call.Router).Msg("decision about a call could not be sent")
	}
}

// close ends the granting. The routers of waiting calls decide by themselves.
func (c *callGrantService) close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closing = true
	for _, d := range c.queue.Release() {
		c.send(&d)
	}
}

// count needs c.mu.
func (c *callGrantService) count(o callqueue.Outcome) {
	switch o {
	case callqueue.Granted:
		c.granted++
	case callqueue.Refused:
		c.refused++
	case callqueue.Waiting, callqueue.NoServer:
	}
}

func (c *callGrantService) totals() CallTotals {
	c.mu.Lock()
	defer c.mu.Unlock()
	return CallTotals{Waiting: c.queue.WaitingCalls(), Granted: c.granted, Refused: c.refused}
}

// run decides about waiting calls as their time runs out, until ctx ends.
func (c *callGrantService) run(ctx context.Context) {
	c.waiting.each(ctx, func(ctx context.Context) {
		tick := time.NewTicker(callPollInterval)
		defer tick.Stop()
		for c.poll(time.Now()) {
			select {
			case <-tick.C:
			case <-ctx.Done():
				return
			}
		}
	})
}

// poll returns false once no call waits.
func (c *callGrantService) poll(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	services := c.queue.WaitingServices()
	for _, service := range services {
		c.decide(service, "", "", now)
	}
	if len(services) > 0 && now.Sub(c.loggedAt) >= stateLogInterval {
		c.log.Info().Strs("services", services).Int("waiting", c.queue.WaitingCalls()).Uint64("granted", c.granted).
			Uint64("refused", c.refused-c.loggedRefused).Msg("calls wait")
		c.loggedAt, c.loggedRefused = now, c.refused
	}
	return len(services) > 0
}
