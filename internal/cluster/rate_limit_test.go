package cluster

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/rs/zerolog"

	"github.com/amaranthshelf/amaranthshelf/internal/forward"
	"github.com/amaranthshelf/amaranthshelf/internal/peer/peertest"
	"github.com/amaranthshelf/amaranthshelf/internal/routes"
	"github.com/amaranthshelf/amaranthshelf/internal/standin/routedengine"
	"github.com/amaranthshelf/amaranthshelf/internal/upstream"
)

// The bounds of a stated rate limit.
const (
	limitWindow      = 4 * time.Second
	limitFactor      = 1.5
	limitSlack       = 5
	limitInForceFrom = 3 * time.Second // after the limit was first stated
)

// callSystem is a service of three servers behind control VMs and routers, in virtual time.
type callSystem struct {
	ctx     context.Context
	net     *peertest.Net
	servers *routedengine.Net
	list    []*routedengine.Server
	hubs    []*testHub
	routers []*callRouter
	sent    atomic.Int64 // request ids
}

type callRouter struct {
	*testVM
	handler *forward.Handler
	fleet   *upstream.Fleet
}

func startCallSystem(ctx context.Context, n *peertest.Net, routers int) *callSystem {
	s := &callSystem{ctx: ctx, net: n, servers: routedengine.NewNet()}
	for i := range 3 {
		s.list = append(s.list, s.servers.Add(&routedengine.Server{
			Backend:  upstream.Backend{ID: fmt.Sprint("s", i), Address: fmt.Sprint("10.0.0.", i, ":80"), Service: "votes", Zone: fmt.Sprint("zone", i), Slots: 6},
			CallTime: 15 * time.Millisecond,
		}))
	}
	for _, id := range controls {
		s.hubs = append(s.hubs, startHub(ctx, n, id, controls))
	}
	for i := range routers {
		s.routers = append(s.routers, s.startRouter(fmt.Sprint("r", i), fmt.Sprint("zone", i%3)))
	}
	time.Sleep(2 * time.Second)
	return s
}

func (s *callSystem) startRouter(id, zone string) *callRouter {
	pool := upstream.NewPoolWith(s.servers.Dial)
	r := &callRouter{testVM: &testVM{}, fleet: upstream.NewFleet(pool, zerolog.Nop())}
	r.fleet.Apply(upstream.List{Backends: s.servers.Backends(), AsOf: time.Now()})
	r.list = NewListReplica(func(upstream.List) {})
	r.member = NewMember(id, s.net.VM(id), controls, r.list, Local{
		Zone: zone, Endpoint: id + ":80", Ready: func() bool { return true }, Use: r.fleet.OwnUse,
		Learn: func(reports PeerReports) {
			r.peers.Store(&reports)
			r.fleet.SetRouters(id, reports.Routers)
		},
	}, zerolog.Nop())
	table := routes.NewTable(&routes.List{
		Version: 1,
		Routes: []routes.Route{{
			Name: "vote", Host: "shelf", Prefix: "/vote/", Kind: routes.Once, MaxAttempts: 1,
			Targets: []routes.Target{{Service: "votes", Weight: 1}}, Timeout: 600 * time.Millisecond, Objective: 100 * time.Millisecond,
		}},
		Services: []routes.Service{{Name: "votes"}},
	})
	ready := make(chan struct{})
	close(ready)
	r.handler = forward.NewHandler(forward.Options{
		Zone: zone, Wire: forward.NewPlainWire(), Pool: pool, Fleet: r.fleet, Routes: func() *routes.Table { return table }, ListsReady: ready,
		RetryAllowance: forward.DefaultRetryAllowance, Log: zerolog.Nop(), RoutineLog: zerolog.Nop(), Metrics: metrics.NewSet(),
		SuspectContents: forward.NewSuspectContents(), Closing: func() bool { return false },
		CannotFinish: func(bool, time.Duration) bool { return false },
	})
	ctx, stop := context.WithCancel(s.ctx)
	r.stop = stop
	go r.member.Run(ctx)
	return r
}

// load has callers send perSecond calls a second for a time, each to the router that choose
// returns, and returns once all are answered.
func (s *callSystem) load(perSecond float64, d time.Duration, choose func(rng *rand.Rand) *callRouter) (answered, refused int) {
	rng := rand.New(rand.NewPCG(1, 2))
	var ok, not atomic.Int64
	for end := time.Now().Add(d); time.Now().Before(end); {
		r := choose(rng)
		go func() {
			w := httptest.NewRecorder()
			q := httptest.NewRequest(http.MethodPost, "/vote/x", http.NoBody)
			q.Host = "shelf"
			q.Header.Set(forward.HeaderRequestID, strconv.FormatInt(s.sent.Add(1), 10))
			r.handler.ServeHTTP(w, q.WithContext(s.ctx))
			if w.Code == http.StatusOK {
				ok.Add(1)
			} else {
				not.Add(1)
			}
		}()
		time.Sleep(time.Duration(rng.ExpFloat64() / perSecond * float64(time.Second)))
	}
	time.Sleep(time.Second)
	return int(ok.Load()), int(not.Load())
}

func (s *callSystem) any(rng *rand.Rand) *callRouter { return s.routers[rng.IntN(len(s.routers))] }

// stop ends the servers' connections, since no goroutine of a test in virtual time may remain.
func (s *callSystem) stop() {
	for _, server := range s.list {
		server.Set(routedengine.Dead)
	}
	for _, r := range s.routers {
		r.fleet.Apply(upstream.List{AsOf: time.Now().Add(time.Hour)})
	}
}

// requireLimit fails the test if a server received more than its rate limit allows in some
// window, from limitInForceFrom after the limit was stated.
func requireLimit(t *testing.T, s *routedengine.Server, rate float64, stated time.Time) {
	t.Helper()
	allowed := int(limitFactor*rate*limitWindow.Seconds()) + limitSlack
	arrivals := s.Arrivals()
	for i, first := range arrivals {
		if first.Before(stated.Add(limitInForceFrom)) {
			continue
		}
		n := 0
		for _, at := range arrivals[i:] {
			if at.Sub(first) < limitWindow {
				n++
			}
		}
		if n > allowed {
			t.Errorf("server %s with a limit of %v a second received %d requests within 4 s from %v after the statement on, want at most %d", s.ID, rate, n, first.Sub(stated), allowed)
			return
		}
	}
}

// A server that states a rate limit for all VMs together must not receive more than that
// from all of them, although each VM alone sends less. Callers use many routers or only one.
func TestStatedRateLimitHoldsOverAllVMs(t *testing.T) {
	for _, tt := range []struct {
		name    string
		routers int
		rate    float64
		oneVM   bool
	}{
		{"callers at all routers", 11, 9, false},
		{"callers at one router", 11, 9, true},
		{"low limit", 40, 0.5, false},
		{"limit of nothing", 11, 0, false},
		{"high limit", 11, 24, false},
	} {
		t.Run(tt.name, func(t *testing.T) {
			inBubble(t, func(t *testing.T, ctx context.Context, n *peertest.Net) {
				s := startCallSystem(ctx, n, tt.routers)
				choose := s.any
				if tt.oneVM {
					choose = func(*rand.Rand) *callRouter { return s.routers[0] }
				}
				s.load(90, 2*time.Second, choose)
				stated := time.Now()
				for _, server := range s.list[:2] {
					server.StateRateLimit(strconv.FormatFloat(tt.rate, 'f', -1, 64))
				}
				s.load(90, 16*time.Second, choose)
				for _, server := range s.list[:2] {
					requireLimit(t, server, tt.rate, stated)
				}
				s.stop()
			})
		})
	}
}
