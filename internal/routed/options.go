// Package routed assembles the two kinds of processes that serve routed requests:
// a router, which takes callers, and a control member, which holds the route list,
// reads the list of backend servers and knows which routers are ready.
//
// Both are told a few control addresses and nothing else about the system. A VM's
// id is its peer address, so that no further list is needed to reach it.
package routed

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/gorilla/mux"
	"github.com/rs/zerolog"

	"github.com/amaranthshelf/amaranthshelf/internal/forward"
	"github.com/amaranthshelf/amaranthshelf/internal/peer"
	"github.com/amaranthshelf/amaranthshelf/internal/rollout"
	"github.com/amaranthshelf/amaranthshelf/internal/upstream"
)

// Lease is the freshness lease of the route list: how long after its last
// confirmation a router may rely on it, and four times the longest poll.
const Lease = 3 * time.Second

// Common are the options of both kinds.
type Common struct {
	ID    string // peer address, ip:port
	Zone  string
	Token string // shared by all VMs
	Seeds []string
	Log   zerolog.Logger
	// Ordinary takes the lines about what went well.
	RoutineLog zerolog.Logger
	// Metrics is the process's set of counters.
	Metrics *metrics.Set
}

// RouterOptions are the options of a Router.
type RouterOptions struct {
	Common
	Endpoint       string // address for callers, ip:port
	Wire           forward.Wire
	RetryAllowance forward.RetryAllowance
	Drain          DrainTimes
}

// ControlOptions are the options of a Control.
type ControlOptions struct {
	Common
	Dir          string // data folder
	FirstStart   bool   // the whole system starts for the first time
	TargetVoters int    // how many the group keeps
	// Rollouts bounds what a new version may get before it is known to be good; zero: the
	// default.
	Rollouts rollout.Limits
	// ReadBackends reads the platform's list of backend servers.
	ReadBackends func(ctx context.Context) ([]upstream.Backend, error)
}

// DrainTimes shape a router's planned end.
type DrainTimes struct {
	Grace time.Duration // from the signal until the process is killed
	// EntryTTL is how long callers keep an entry answer at most.
	EntryTTL time.Duration
}

// listen binds an address for VMs and operators and serves it until the server is
// closed.
func listen(addr string, h http.Handler, log zerolog.Logger) (*http.Server, error) {
	s := &http.Server{
		Handler: h, MaxHeaderBytes: DefaultLimits.MaxHeaderBytes,
		ReadHeaderTimeout: DefaultLimits.HeaderTimeout, IdleTimeout: DefaultLimits.IdleTimeout,
	}
	return s, serve(s, addr, func(l net.Listener) net.Listener { return l }, log)
}

// listenCallers is the same for callers, with limits that may change.
func listenCallers(addr string, h http.Handler, conns *callerConns, log zerolog.Logger) (*http.Server, error) {
	s := &http.Server{Handler: conns.bound(h), MaxHeaderBytes: mostHeaderBytes, ConnState: conns.note}
	return s, serve(s, addr, func(l net.Listener) net.Listener { return callerListener{l, conns} }, log)
}

func serve(s *http.Server, addr string, wrap func(net.Listener) net.Listener, log zerolog.Logger) error {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return err
	}
	go func() {
		if err := s.Serve(wrap(l)); err != http.ErrServerClosed {
			log.Error().Err(err).Str("address", addr).Msg("listener ended")
		}
	}()
	return nil
}

// peerLines a second are logged about peer connections: a VM that wakes refuses
// the frames of all its old connections at once.
const peerLines = 5

// newNetwork returns the transport of a VM whose id is its address.
func newNetwork(o *Common) *peer.Network {
	log := o.Log.Sample(&zerolog.BurstSampler{Burst: peerLines, Period: time.Second})
	return peer.NewNetwork(o.ID, o.Token, func(vm string) (string, bool) { return vm, vm != "" }, log)
}

// listenPeers serves the other VMs on this VM's peer address.
func listenPeers(n *peer.Network, o *Common) (*http.Server, error) {
	m := mux.NewRouter()
	m.Handle(peer.Path, n)
	return listen(o.ID, m, o.Log)
}

// Listen is listen for the adapter's own listeners.
func Listen(addr string, h http.Handler, log zerolog.Logger) (*http.Server, error) {
	return listen(addr, h, log)
}
