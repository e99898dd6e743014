package forward

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/amaranthshelf/amaranthshelf/internal/backpressure"
	"github.com/amaranthshelf/amaranthshelf/internal/upstream"
)

// A server states how many requests it accepts. Each send of this VM therefore passes two
// checks: reserve, before the send is charged to any budget, and Fleet.UsePermit, right
// before the request is written. Between them the request may wait for a connection, or
// through a stall of the VM, while the server states a limit. A server that fails a check is
// passed over like one that is draining, even if there is no other.

// Permits grants sends to servers with a rate limit on behalf of all VMs.
type Permits interface {
	// RequestPermit asks for one send to a server whose limit is l. It returns false if no
	// control VM answers.
	RequestPermit(ctx context.Context, server string, l backpressure.Limit) (PermitAnswer, bool)
}

// PermitAnswer is the answer to a request for a permit.
type PermitAnswer struct {
	Granter string // the control VM that answered
	Granted bool
	Wait    time.Duration // until the next request, if it was not granted
	Limit   backpressure.Limit
}

// localPermits are the Permits of a VM that shares no limit with others.
type localPermits struct{}

func (localPermits) RequestPermit(context.Context, string, backpressure.Limit) (PermitAnswer, bool) {
	return PermitAnswer{}, false
}

// gate checks whether requests may be sent to servers. It is safe for concurrent use.
type gate struct {
	fleet    *upstream.Fleet
	permits  Permits
	withheld func(backpressure.Verdict) // counts a send that was withheld
}

// reserve returns a permit for one send to a server, or false if it must not be sent now.
func (g *gate) reserve(ctx context.Context, s *upstream.Server, w backpressure.Work) (backpressure.Permit, bool) {
	verdict, limit := g.fleet.CheckSend(s, w)
	if verdict == backpressure.Send {
		return g.fleet.Unlimited(s, w), true
	}
	if verdict == backpressure.NeedsPermit {
		if p, ok := g.requestPermit(ctx, s, w, limit); ok {
			return p, true
		}
		verdict = backpressure.AtLimit
	}
	g.withheld(verdict)
	return backpressure.Permit{}, false
}

// use reports whether a request may be sent with a permit for work w. It must be called right
// before the request is written.
func (g *gate) use(s *upstream.Server, w backpressure.Work, p backpressure.Permit) bool {
	if g.fleet.UsePermit(s, p) {
		return true
	}
	verdict, _ := g.fleet.CheckSend(s, w)
	g.withheld(verdict)
	return false
}

func (g *gate) requestPermit(ctx context.Context, s *upstream.Server, w backpressure.Work, limit backpressure.Limit) (backpressure.Permit, bool) {
	a, answered := g.permits.RequestPermit(ctx, s.ID, limit)
	if !answered {
		return g.fleet.TakeShare(s, w)
	}
	g.fleet.LearnLimits(map[string]backpressure.Limit{s.ID: a.Limit})
	if !a.Granted {
		g.fleet.Denied(s, a.Wait)
		return backpressure.Permit{}, false
	}
	return g.fleet.Granted(s, w, a.Granter), true
}

// errWithheld means that a server accepts no request now.
var errWithheld = errors.New("backend server accepts no request now")

// engineCaller makes the system's own calls to engines: probes and orders.
type engineCaller struct {
	gate *gate
	pool *upstream.Pool
	wire Wire
}

// do sends a call to an engine and reads the complete answer. It returns errWithheld if the
// engine accepts no request now.
func (c *engineCaller) do(ctx context.Context, s *upstream.Server, r *upstream.Request) (*http.Response, []byte, error) {
	p, ok := c.gate.reserve(ctx, s, backpressure.RunningWork)
	if !ok {
		return nil, nil, errWithheld
	}
	sent := time.Now()
	resp, body, err := c.pool.Do(ctx, s.ID, s.Address, r, func() error {
		if !c.gate.use(s, backpressure.RunningWork, p) {
			return errWithheld
		}
		return nil
	})
	if err != nil {
		return nil, nil, err
	}
	a := c.wire.ReadAnswer(resp.StatusCode, resp.Header)
	learnStatement(c.gate.fleet, s, &a, "", sent)
	return resp, body, nil
}

// learnStatement takes what a server states about itself in the answer to a request.
func learnStatement(f *upstream.Fleet, s *upstream.Server, a *Answer, request string, sent time.Time) {
	if st, ok := a.statementOf(s.ID); ok {
		f.LearnStatement(s, st, request, sent)
	}
}
