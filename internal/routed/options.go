// Package routed assembles the two kinds of processes that serve routed requests.
// A router serves callers. A control process holds the route list, reads the list of
// backend servers and knows which routers are ready.
//
// Both are configured with a few control addresses (seeds) and discover the rest of
// the system through them. A VM's id is its peer address, which makes an address
// list unnecessary.
package routed

import (
	"cmp"
	"context"
	"net"
	"net/http"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/gorilla/mux"
	"github.com/rs/zerolog"

	"github.com/amaranthshelf/amaranthshelf/internal/capacity"
	"github.com/amaranthshelf/amaranthshelf/internal/forward"
	"github.com/amaranthshelf/amaranthshelf/internal/headlimit"
	"github.com/amaranthshelf/amaranthshelf/internal/peer"
	"github.com/amaranthshelf/amaranthshelf/internal/rollout"
	"github.com/amaranthshelf/amaranthshelf/internal/upstream"
)

// Lease is the freshness lease of the route list. A router may rely on the list for
// this long after its last confirmation. It is four times the longest poll.
const Lease = 3 * time.Second

// Common holds the options that routers and control processes share.
type Common struct {
	ID string // peer address, ip:port
	// Listen is the address on which the other VMs are served; empty: ID. It differs from ID
	// where they connect through a proxy.
	Listen string
	Zone   string
	Token  string   // shared by all VMs
	Seeds  []string // addresses of control VMs
	Log    zerolog.Logger
	// RoutineLog receives the lines about requests that succeeded.
	RoutineLog zerolog.Logger
	// Metrics is the process's metric set.
	Metrics *metrics.Set
	// Heads bounds what the clients of all listeners hold before they are served; nil: for a VM whose
	// settings state no limits.
	Heads *headlimit.Account
}

// setDefaults sets the dependencies that are left out.
func (o *Common) setDefaults() {
	if o.Heads == nil {
		o.Heads = headlimit.NewAccount(0, 0)
	}
}

// RouterOptions are the options of a Router.
type RouterOptions struct {
	Common
	Endpoint       string // address for callers, ip:port
	Wire           forward.Wire
	RetryAllowance forward.RetryAllowance
	Drain          DrainTimes
	// Limits are the resources of the VM. If they are not stated, its load is not measured.
	Limits capacity.Limits
}

// ControlOptions are the options of a Control.
type ControlOptions struct {
	Common
	Dir          string // data folder
	FirstStart   bool   // the whole system starts for the first time
	TargetVoters int    // number of voters that the control group maintains
	// Rollouts bounds the traffic that a new version gets until it has proved good. The
	// zero value selects rollout.DefaultLimits.
	Rollouts rollout.Limits
	// VersionHold is how long a version that nobody ordered gets no requests after it was first
	// listed beside others; 0: no roll-outs are ordered here, and it is used at once.
	VersionHold time.Duration
	// ReadBackends reads the platform's list of backend servers.
	ReadBackends func(ctx context.Context) ([]upstream.Backend, error)
}

// DrainTimes bounds a router's planned shutdown.
type DrainTimes struct {
	Grace time.Duration // from the signal until the process is killed
	// EntryTTL is the longest time for which callers keep an entry answer.
	EntryTTL time.Duration
}

// Listen binds addr for VMs and operators, and serves h in the background until the returned server
// is closed. Platform adapters use it for their own listeners.
func Listen(addr string, h http.Handler, heads *headlimit.Account, log zerolog.Logger) (*http.Server, error) {
	s := &http.Server{
		Addr: addr, Handler: h, MaxHeaderBytes: DefaultLimits.MaxHeaderBytes,
		ReadHeaderTimeout: DefaultLimits.HeaderTimeout, IdleTimeout: DefaultLimits.IdleTimeout,
	}
	maxHead := func() int { return DefaultLimits.MaxHeaderBytes }
	return s, serve(s, addr, func(l net.Listener) net.Listener { return heads.Guard(s, l, maxHead) }, log)
}

// listenCallers does the same for callers, with limits that follow the route list.
func listenCallers(addr string, h http.Handler, conns *callerConns, heads *headlimit.Account, log zerolog.Logger) (*http.Server, error) {
	s := &http.Server{Handler: conns.limitHeader(h), MaxHeaderBytes: maxConfigurableHeaderBytes, ConnState: conns.onStateChange}
	return s, serve(s, addr, func(l net.Listener) net.Listener {
		return callerListener{heads.Guard(s, l, conns.maxHeaderBytes), conns}
	}, log)
}

func serve(s *http.Server, addr string, wrap func(net.Listener) net.Listener, log zerolog.Logger) error {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return err
	}
	l = wrap(l) // before the server serves
	go func() {
		if err := s.Serve(l); err != http.ErrServerClosed {
			log.Error().Err(err).Str("address", addr).Msg("listener failed")
		}
	}()
	return nil
}

// peerLogLinesPerSecond bounds the log lines about peer connections. A VM that resumes
// after a pause refuses the frames of all its old connections at once.
const peerLogLinesPerSecond = 5

// newNetwork returns the peer transport of a VM. The id of each VM is its address.
func newNetwork(o *Common) *peer.Network {
	log := o.Log.Sample(&zerolog.BurstSampler{Burst: peerLogLinesPerSecond, Period: time.Second})
	return peer.NewNetwork(o.ID, o.Token, func(vm string) (string, bool) { return vm, vm != "" }, log)
}

// listenPeers serves the other VMs on this VM's peer address.
func listenPeers(n *peer.Network, o *Common) (*http.Server, error) {
	m := mux.NewRouter()
	m.Handle(peer.Path, n)
	return Listen(cmp.Or(o.Listen, o.ID), m, o.Heads, o.Log)
}
