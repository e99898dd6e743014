package cluster

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/rs/zerolog"

	"github.com/amaranthshelf/amaranthshelf/internal/forward"
	"github.com/amaranthshelf/amaranthshelf/internal/handoff"
	"github.com/amaranthshelf/amaranthshelf/internal/memory"
	"github.com/amaranthshelf/amaranthshelf/internal/peer/peertest"
	"github.com/amaranthshelf/amaranthshelf/internal/recovery"
	"github.com/amaranthshelf/amaranthshelf/internal/routes"
	"github.com/amaranthshelf/amaranthshelf/internal/shutdown"
	"github.com/amaranthshelf/amaranthshelf/internal/standin/routedengine"
	"github.com/amaranthshelf/amaranthshelf/internal/timer"
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
	sent    atomic.Int64 // request ids

	mu      sync.Mutex
	routers []*callRouter
}

type callRouter struct {
	*testVM
	handler  *forward.Handler
	fleet    *upstream.Fleet
	contents *forward.SuspectContents
	link     *serverLink
}

func (r *callRouter) hears(service string) bool { return r.fleet.HeardWithin(service, time.Second) }

func (r *callRouter) probeLostServices(ctx context.Context) {
	for timer.Sleep(ctx, 300*time.Millisecond) == nil {
		for _, service := range slices.Concat(r.fleet.LostServices(), r.member.LostElsewhere()) {
			if !r.hears(service) {
				r.handler.ProbeService(service)
			}
		}
	}
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
		h := startHub(ctx, n, id, controls)
		h.hub.SetBackends(upstream.List{Backends: s.servers.Backends(), AsOf: time.Now()})
		go h.hub.Run(ctx)
	}
	for range routers {
		s.addRouter()
	}
	time.Sleep(2 * time.Second)
	return s
}

func (s *callSystem) addRouter() {
	s.mu.Lock()
	defer s.mu.Unlock()
	i := len(s.routers)
	s.routers = append(s.routers, s.startRouter(fmt.Sprint("r", i), fmt.Sprint("zone", i%3)))
}

// restartRouter replaces a router by one that knows nothing.
func (s *callSystem) restartRouter(i int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.routers[i].stop()
	s.routers[i] = s.startRouter(fmt.Sprint("r", i), fmt.Sprint("zone", i%3))
}

func (s *callSystem) startRouter(id, zone string) *callRouter {
	link := newServerLink()
	pool := upstream.NewPoolWith(func(ctx context.Context, addr string) (net.Conn, error) { return link.dial(ctx, addr, s.servers.Dial) })
	r := &callRouter{link: link, testVM: &testVM{}, fleet: upstream.NewFleet(pool, zerolog.Nop()), contents: forward.NewSuspectContents(zerolog.Nop())}
	r.fleet.Apply(upstream.List{Backends: s.servers.Backends(), AsOf: time.Now()})
	r.list = NewListReplica(func(upstream.List) {})
	ready := make(chan struct{})
	learned := sync.OnceFunc(func() { close(ready) })
	learnContents := func(records map[uint64]recovery.ContentRecord) {
		r.contents.Learn(records)
		learned()
	}
	transport := s.net.VM(id)
	r.member = NewMember(id, transport, controls, r.list, Local{
		Zone: zone, Endpoint: id + ":80", Ready: func() bool { return true }, Use: r.fleet.OwnUse, Deaths: r.contents.TakeUnreported, Contents: r.contents.Reports, LearnContents: learnContents, Lost: r.fleet.LostServices, Hears: r.hears, Dead: r.fleet.RecentlyDead,
		Withheld: r.fleet.Withheld, Limits: r.fleet.Limits, SentElsewhere: r.fleet.SentElsewhere, LearnLimits: r.fleet.LearnLimits,
		Leaving: r.fleet.Leaving, LearnLeaving: r.fleet.LearnLeaving,
		Learn: func(reports PeerReports) {
			r.peers.Store(&reports)
			r.fleet.SetRouters(id, reports.Routers)
			r.fleet.PeerReportedDead(reports.Dead)
			r.contents.AddPeerDeaths(reports.Deaths)
		},
	}, zerolog.Nop())
	r.contents.Changed = r.member.NotifyNow
	table := routes.NewTable(&routes.List{
		Version: 1,
		Routes: []routes.Route{
			{
				Name: "vote", Host: "shelf", Prefix: "/vote/", Kind: routes.Once, MaxAttempts: 1,
				Targets: []routes.Target{{Service: "votes", Weight: 1}}, Timeout: 600 * time.Millisecond, Objective: 100 * time.Millisecond,
			},
			{
				Name: "tally", Host: "shelf", Prefix: "/tally/", Kind: routes.Idempotent, MaxAttempts: 2,
				Targets: []routes.Target{{Service: "votes", Weight: 1}}, Timeout: 600 * time.Millisecond, Objective: 100 * time.Millisecond,
			},
		},
		Services: []routes.Service{{Name: "votes"}},
	})
	ctx, stop := context.WithCancel(s.ctx)
	r.stop = stop
	r.handler = forward.NewHandler(forward.Options{
		Context: ctx, Zone: zone, Wire: forward.NewPlainWire(), Pool: pool, Fleet: r.fleet, Routes: func() *routes.Table { return table }, ListsReady: ready,
		Permits: r.member, CallGrants: r.member, ContentTrials: r.member, HandOff: handoff.NewClient(transport, r.member.Relays, memory.NewAccount(0), zerolog.Nop()), RetryAllowance: forward.DefaultRetryAllowance, Log: zerolog.Nop(), RoutineLog: zerolog.Nop(), Metrics: metrics.NewSet(),
		SuspectContents: r.contents, Closing: func() bool { return false },
		CannotFinish: func(shutdown.Work) bool { return false },
	})
	handoff.NewServer(ctx, transport, r.handler, func(service string) bool { return r.fleet.Reaches(service) && r.hears(service) }, memory.NewAccount(0), zerolog.Nop())
	go r.member.Run(ctx)
	go r.member.RunCallReports(ctx)
	go r.probeLostServices(ctx)
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
			if s.vote(r) {
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

// vote sends a vote of its own content to a router, and reports whether it was served.
func (s *callSystem) vote(r *callRouter) bool {
	id := strconv.FormatInt(s.sent.Add(1), 10)
	w := httptest.NewRecorder()
	q := httptest.NewRequest(http.MethodPost, "/vote/x", strings.NewReader(id))
	q.Host = "shelf"
	q.Header.Set(forward.HeaderRequestID, id)
	r.handler.ServeHTTP(w, q.WithContext(s.ctx))
	return w.Code == http.StatusOK
}

func (s *callSystem) any(rng *rand.Rand) *callRouter {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.routers[rng.IntN(len(s.routers))]
}

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

// requireUse fails the test if a server received less than leastUse of its limit.
func requireUse(t *testing.T, s *routedengine.Server, rate float64, from time.Time, d time.Duration) {
	t.Helper()
	const leastUse = 0.9
	n := 0
	for _, at := range s.Arrivals() {
		if at.After(from) && at.Before(from.Add(d)) {
			n++
		}
	}
	if share := float64(n) / (rate * d.Seconds()); share < leastUse {
		t.Errorf("server %s with a limit of %v a second received %d requests in %v, %.2f of its limit, want %v or more", s.ID, rate, n, d, share, leastUse)
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
					requireUse(t, server, min(tt.rate, 30), stated.Add(limitInForceFrom), 12*time.Second)
				}
				s.stop()
			})
		})
	}
}

// The limit must hold while VMs disagree on which control VM grants, and while control VMs or
// routers fail, restart or join. A control VM that takes over does not know what the former
// one has granted.
func TestRateLimitHoldsWhileVMsFail(t *testing.T) {
	const rate = 9.0
	for _, tt := range []struct {
		name  string
		fault func(s *callSystem, step int) // called each second after the limit is in force
	}{
		{"granting control VM dies", func(s *callSystem, step int) {
			if step == 1 {
				s.net.Kill(controls[0])
			}
		}},
		{"all control VMs die", func(s *callSystem, step int) {
			if step == 1 {
				for _, c := range controls {
					s.net.Kill(c)
				}
			}
		}},
		{"granting control VM pauses again and again", func(s *callSystem, step int) {
			if step%2 == 0 {
				s.net.Pause(controls[0])
			} else {
				s.net.Resume(controls[0])
			}
		}},
		{"half of the routers do not reach the granting control VM", func(s *callSystem, step int) {
			if step == 1 {
				for i := range 6 {
					s.net.Cut(fmt.Sprint("r", i), controls[0])
					s.net.Cut(controls[0], fmt.Sprint("r", i))
				}
			}
		}},
		{"two halves", func(s *callSystem, step int) {
			if step == 1 {
				for _, a := range []string{"c1", "r0", "r1", "r2", "r3", "r4"} {
					for _, b := range []string{"c2", "c3", "r5", "r6", "r7", "r8", "r9", "r10"} {
						s.net.Cut(a, b)
						s.net.Cut(b, a)
					}
				}
			}
		}},
		{"routers join and restart", func(s *callSystem, step int) {
			if step%2 == 1 {
				s.addRouter()
			} else {
				s.restartRouter(step)
			}
		}},
	} {
		t.Run(tt.name, func(t *testing.T) {
			inBubble(t, func(t *testing.T, ctx context.Context, n *peertest.Net) {
				s := startCallSystem(ctx, n, 11)
				stated := time.Now()
				for _, server := range s.list {
					server.StateRateLimit(fmt.Sprint(rate))
				}
				go s.load(90, 14*time.Second, s.any)
				time.Sleep(limitInForceFrom)
				for step := range 10 {
					tt.fault(s, step)
					time.Sleep(time.Second)
				}
				time.Sleep(3 * time.Second)
				for _, server := range s.list {
					requireLimit(t, server, rate, stated)
				}
				s.stop()
			})
		})
	}
}

// When a limit ends, the server looks idle, and all VMs together must not send it everything
// at once. Every VM must learn of the end, also one that may send nothing.
func TestSendsRiseGraduallyAfterALimit(t *testing.T) {
	inBubble(t, func(t *testing.T, ctx context.Context, n *peertest.Net) {
		const rate = 2.0
		s := startCallSystem(ctx, n, 11)
		for _, server := range s.list {
			server.StateRateLimit(fmt.Sprint(rate))
		}
		s.load(90, 6*time.Second, s.any)
		for _, server := range s.list {
			server.StateRateLimit("")
		}
		ended := time.Now()
		answered, refused := s.load(90, 10*time.Second, s.any)
		first := 0
		for _, at := range s.list[0].Arrivals() {
			if at.After(ended) && at.Before(ended.Add(time.Second)) {
				first++
			}
		}
		if first > 15 {
			t.Errorf("a server whose limit of %v a second has ended received %d requests within a second, want 15 at most", rate, first)
		}
		if answered < 400 {
			t.Errorf("%d calls were answered and %d refused within 10 s after the limits ended, want 400 answered or more", answered, refused)
		}
		for i, r := range s.routers {
			if r.fleet.LimitsInForce() > 0 {
				t.Errorf("router %d still applies a limit that has ended", i)
			}
		}
		s.stop()
	})
}
