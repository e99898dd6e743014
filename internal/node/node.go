// Package node assembles one VM of the system from its components and runs it.
package node

import (
	"context"
	"crypto/rand"
	"errors"
	"expvar"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/gorilla/mux"
	"github.com/rs/zerolog"

	"github.com/amaranthshelf/amaranthshelf/internal/control"
	"github.com/amaranthshelf/amaranthshelf/internal/engine"
	"github.com/amaranthshelf/amaranthshelf/internal/explain"
	"github.com/amaranthshelf/amaranthshelf/internal/gateway"
	"github.com/amaranthshelf/amaranthshelf/internal/headlimit"
	"github.com/amaranthshelf/amaranthshelf/internal/operator"
	"github.com/amaranthshelf/amaranthshelf/internal/peer"
	"github.com/amaranthshelf/amaranthshelf/internal/relay"
	"github.com/amaranthshelf/amaranthshelf/internal/result"
	"github.com/amaranthshelf/amaranthshelf/internal/result/resulthttp"
	"github.com/amaranthshelf/amaranthshelf/internal/service"
	"github.com/amaranthshelf/amaranthshelf/internal/settings"
	"github.com/amaranthshelf/amaranthshelf/internal/telemetry"
)

// Timings of a VM's HTTP servers.
const (
	heartbeatInterval = 1 * time.Second
	headerTimeout     = 5 * time.Second
	// maxHeaderBytes bounds the head of a request.
	maxHeaderBytes = 64 << 10
)

// Node is one VM. Listen binds its addresses, and Start serves them.
type Node struct {
	s       *settings.Settings
	log     zerolog.Logger
	metrics *expvar.Map
	tracer  *telemetry.Tracer

	callers, operators, peers net.Listener
	servers                   []*server

	// incarnation differs at each start. A VM that has lost its memory must not be
	// mistaken for the one that acknowledged journal entries before.
	incarnation string
	engines     *engine.Client
	explain     *explain.Ring

	network     *peer.Network
	state       *control.ReplicatedState
	control     control.Client
	remote      *control.RemoteClient // the same client as control, with its concrete type
	feed        *control.Feed
	group       *control.Group // nil on a VM without the control role
	failure     chan error
	hub         *relay.Hub
	members     *members
	router      *router
	admission   *admitter
	stopPolling context.CancelFunc
	plans       *plans
	services    *service.Dispatcher
	backends    *backends
	ready       atomic.Bool
	explainer   *operator.Explainer

	draining   atomic.Bool        // set by Shutdown; entry answers omit this VM
	heads      *headlimit.Account // of the clients of all listeners
	handedOver context.Context    // ends once the running generations are handed over
	ending     context.Context    // ends shortly before the process does
	stopping   atomic.Pointer[stopWindow]

	askToReconnect context.CancelFunc // ends handedOver
	endAnswers     context.CancelFunc // ends ending
}

// Listen binds the VM's addresses, and stores the ports that the kernel picked in s.
func Listen(s *settings.Settings, log zerolog.Logger) (*Node, error) {
	tracer, err := telemetry.NewTracer(s.Self.ID, s.TraceFile)
	if err != nil {
		return nil, err
	}
	n := &Node{
		s: s, log: log, metrics: telemetry.Metrics(s.Self.ID), tracer: tracer,
		incarnation: rand.Text()[:8], engines: engine.NewClient(), explain: explain.NewRing(explain.DefaultRequests),
		heads: headlimit.NewAccount(s.MemoryMB<<20, int(s.Descriptors)), failure: make(chan error, 1),
	}
	n.handedOver, n.askToReconnect = context.WithCancel(context.Background())
	n.ending, n.endAnswers = context.WithCancel(context.Background())
	for _, b := range []struct {
		l    *net.Listener
		addr *string
	}{{&n.callers, &s.Self.Endpoint}, {&n.operators, &s.Operators}, {&n.peers, &s.Self.Peer}} {
		l, err := net.Listen("tcp", *b.addr)
		if err != nil {
			n.closeListeners()
			return nil, err
		}
		*b.l = l
		*b.addr = l.Addr().String()
	}
	return n, nil
}

// Self returns this VM with its bound addresses.
func (n *Node) Self() settings.VM { return n.s.Self }

// OperatorAddr returns the bound address for operators.
func (n *Node) OperatorAddr() string { return n.s.Operators }

// Start assembles the components and serves the addresses. vms lists every VM of the
// system, this one included.
func (n *Node) Start(vms []settings.VM) {
	n.s.VMs = vms
	n.startMembers()
	n.startControl()
	n.followMembers()
	n.startPlans()
	n.startFleet()
	n.startServices()
	n.startExplain()
	n.startRouting()
	n.startAdmission()
	n.startGenerations()
	n.startPolling()
	n.startCallers()
	n.startOperators()
	n.startPeers()
	n.runControl()
	n.joinMembers()
	n.ready.Store(true)
}

func (n *Node) startCallers() {
	gw := gateway.New(gateway.Config{MaxBodyBytes: n.s.MaxBodyBytes, Heartbeat: heartbeatInterval, Draining: n.handedOver, Ending: n.ending, CannotFinish: n.cannotFinish},
		n.hub, n.plans, n.router, n.tracer, n.log)
	r := mux.NewRouter().UseEncodedPath()
	gw.Routes(r)
	n.serviceRoutes(gw, r)
	gw.EntryRoutes(r, n.members, n.s.EntryTTL)
	n.explainer.CallerRoutes(r, n.plans.Directory)
	n.serve(n.callers, n.endKeptConnections(r))
}

func (n *Node) startOperators() {
	n.serve(n.operators, n.operatorRoutes())
}

func (n *Node) startPeers() {
	r := mux.NewRouter()
	r.Handle(peer.Path, n.network)
	n.serve(n.peers, r)
}

func (n *Node) operatorRoutes() http.Handler {
	r := mux.NewRouter()
	r.HandleFunc("/healthz", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusNoContent) })
	r.HandleFunc("/readyz", func(w http.ResponseWriter, _ *http.Request) {
		if !n.ready.Load() {
			resulthttp.Write(w, "", result.New(result.ShuttingDown))
			return
		}
		if !n.fresh() {
			resulthttp.Write(w, "", result.New(result.NotFresh))
			return
		}
		w.WriteHeader(http.StatusNoContent)
	})
	r.Handle("/debug/vars", expvar.Handler())
	n.addOperatorRoutes(r)
	return r
}

func (n *Node) serve(l net.Listener, h http.Handler) {
	s := newServer(l, h, n.heads)
	n.servers = append(n.servers, s)
	go func() {
		if err := s.Serve(s.listener); !errors.Is(err, http.ErrServerClosed) && !errors.Is(err, net.ErrClosed) {
			n.log.Error().Err(err).Msg("listener failed")
		}
	}()
}

// Hub returns the hub of the generations that this VM relays.
func (n *Node) Hub() *relay.Hub { return n.hub }

// Kill stops the VM as a crash does: every connection breaks, and no other VM is
// notified.
func (n *Node) Kill() {
	n.ready.Store(false)
	n.closeListeners()
	for _, s := range n.servers {
		_ = s.Close()
	}
	n.plans.cancel()
	n.members.cancel()
	n.stopPolling()
	n.network.Close()
	n.stopControl()
	n.hub.Close()
}

func (n *Node) closeListeners() {
	for _, l := range []net.Listener{n.callers, n.operators, n.peers} {
		if l != nil {
			_ = l.Close()
		}
	}
}
