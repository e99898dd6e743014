package upstream

import (
	"slices"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/amaranthshelf/amaranthshelf/internal/backpressure"
	"github.com/amaranthshelf/amaranthshelf/internal/handoff"
	"github.com/amaranthshelf/amaranthshelf/internal/placement"
	"github.com/amaranthshelf/amaranthshelf/internal/recovery"
)

// Backend is one row of the list of backend servers.
type Backend struct {
	ID       string `cbor:"1,keyasint"` // of this incarnation
	Service  string `cbor:"2,keyasint"`
	Address  string `cbor:"3,keyasint"` // ip:port
	Zone     string `cbor:"4,keyasint"`
	Slots    int    `cbor:"5,keyasint"`
	Draining bool   `cbor:"6,keyasint,omitempty"`
	Version  string `cbor:"7,keyasint,omitempty"` // of the server's software; empty: not stated
	// Cold marks a server that has just started and is still slower than usual.
	Cold bool `cbor:"8,keyasint,omitempty"`
	// BornMS is when this incarnation started, in milliseconds since the Unix epoch by the clock
	// of its host; 0: not stated. A server that starts again may keep its id.
	BornMS int64 `cbor:"9,keyasint,omitempty"`
}

// List is the list of backend servers and the time at which it was read, by this VM's
// clock.
type List struct {
	Backends []Backend
	AsOf     time.Time
}

// SharesRows reports whether both lists hold the very same rows, which never change.
func (l *List) SharesRows(o *List) bool { return sameRows(l.Backends, o.Backends) }

// Constants for what a VM concludes from a server's behaviour.
const (
	// minAvoid and maxAvoid bound how long a server that could not be reached, or failed,
	// is avoided. The time doubles with each fault in a row. A process restarts within a
	// second; an unresponsive one stays so for several.
	minAvoid = 500 * time.Millisecond
	maxAvoid = 4 * time.Second
	// deadAvoid is how long a dead server is avoided. It returns under another id, or under
	// its own if it was only cut off, which lasts for seconds.
	deadAvoid = 4 * time.Second
	// idleServerTTL is how long the Fleet remembers a listed server that it was not asked
	// for. Nothing that it observed of the server holds for that long.
	idleServerTTL = time.Minute
	// livenessWindow is how long received bytes prove that a server is alive. An engine
	// that prefills a prompt sends an event at least every 250 ms.
	livenessWindow = 250 * time.Millisecond
	// deathReportWindow is how long a death is reported to other VMs. It covers several
	// notices.
	deathReportWindow = 1200 * time.Millisecond
	// fullAvoid is how long a server that refused a request as full is avoided. Its queue
	// moves within some tens of milliseconds.
	fullAvoid = 60 * time.Millisecond
	// failuresToAvoid failed responses in a row make a server avoided. Single failures are
	// the service's own.
	failuresToAvoid = 3
	// reportedLoadTTL is how long a reported load counts, about the duration of one call.
	reportedLoadTTL = 300 * time.Millisecond
	// latencyWeight is the weight of the newest latency in the moving average.
	latencyWeight = 0.2
	// slowRatio is the latency, relative to the mean of the service, from which a server
	// counts as slow. Smaller differences are chance.
	slowRatio = 1.6
)

// Server holds what this VM knows of one backend server. Its fields are guarded by the
// Fleet. Backend never changes except for Draining and Cold, which the Fleet updates.
type Server struct {
	Backend
	use              placement.Usage
	died             chan struct{} // closed when the server is judged dead; nil: nobody waits
	revived          chan struct{} // closed when the server is not judged dead any more; nil: nobody waits
	suspicion        chan struct{} // closed when there is reason to probe the server; nil: nobody waits
	requestedAt      time.Time     // when the Fleet last returned it
	lastHeard        time.Time     // when bytes last came from the server
	diedAt           time.Time     // when it was last judged dead, here or by another VM
	dead             *death        // it was judged dead here and has not been heard since; nil: not so
	rank             int           // this VM's position in the server's rendezvous order, valid for rankVersion
	rankVersion      int           // value of Fleet.routersVersion
	avoidUntil       time.Time     // from this VM's own observations
	unreachedUntil   time.Time     // the same, unless the server answers on a new connection
	suspectedUntil   time.Time     // from deaths of neighbours or from peer reports
	faultsInRow      int           // faults in a row that made the server avoided
	failuresInRow    int           // failed responses in a row
	stale            bool          // another incarnation answers at the address
	latencyMS        float64       // moving average
	serviceTimeMS    float64       // moving average without the wait for a slot
	reportedRequests int           // requests of other VMs on the server, by its last response
	reportedSlowdown float64       // by its last response; 0: not stated
	reportedAt       time.Time     // when it last reported
	unreadableLoad   bool          // it has stated a load that cannot be read
	accepts          *incarnation  // which requests it accepts, by its own statements
	cordoned         bool          // takes no new work, by order of an operator
}

// Fleet holds what this VM knows of all backend servers. It is safe for concurrent use.
type Fleet struct {
	pool *Pool
	now  func() time.Time
	log  zerolog.Logger
	// onDeath is called, without a lock, with each sign that a server has died.
	onDeath func(server string, e Evidence)

	mu             sync.Mutex
	asOf           time.Time
	list           listIndex
	servers        map[string]*Server // of the list, those that were requested lately, by id
	peerUse        map[string]placement.Usage
	outage         recovery.Outage
	self           string
	routers        []string             // VMs that place requests, including this one
	routersVersion int                  // number of changes of routers
	deadSince      map[string]time.Time // when servers were judged dead here, by id
	routerCount    routerCount
	incarnations   map[incarnationKey]*incarnation
	slowdownStated map[string]time.Time // when a server last stated a slowdown, by service
	fragileAt      map[string]time.Time // when a server last stated a rejection limit, by service
	cordons        cordons
	reach          *handoff.Reach
	lostSince      map[string]time.Time // services that this VM does not reach
	heardService   map[string]time.Time // when some server of a service was last heard
}

// open reports whether requests may be sent to the server now: it is not draining, no other
// incarnation answers at its address, and it accepts requests by its own statements and has not died.
func (s *Server) open(now time.Time) bool {
	return s.inService() && s.dead == nil && !s.accepts.withheld(now)
}

// inService reports whether the server takes new requests now or later. A server that has
// stated that it leaves, or is cordoned, does not, whatever the list says.
func (s *Server) inService() bool {
	return !s.Draining && !s.stale && !s.cordoned && !s.accepts.Leaving()
}

// NewFleet returns an empty Fleet. It closes idle connections in pool to servers that leave
// the list.
func NewFleet(pool *Pool, log zerolog.Logger) *Fleet {
	return &Fleet{pool: pool, log: log, now: time.Now, onDeath: func(string, Evidence) {}, servers: map[string]*Server{}, deadSince: map[string]time.Time{}, incarnations: map[incarnationKey]*incarnation{}, slowdownStated: map[string]time.Time{}, fragileAt: map[string]time.Time{}, reach: handoff.NewReach(), lostSince: map[string]time.Time{}, heardService: map[string]time.Time{}}
}

// Apply takes over a list if it was read later than the current one, and reports whether it
// did. An older list, from a VM that was cut off, would bring back servers that have left.
// The rows must not be changed afterwards.
func (f *Fleet) Apply(l List) bool {
	f.mu.Lock()
	if !l.AsOf.After(f.asOf) {
		f.mu.Unlock()
		return false
	}
	f.asOf = l.AsOf
	if f.list.holds(l.Backends) {
		f.mu.Unlock()
		return true
	}
	next := newListIndex(l.Backends)
	added, gone := f.list.changesTo(&next)
	f.list = next
	for _, id := range gone {
		delete(f.servers, id)
	}
	f.refreshServers()
	f.matchCordons()
	f.hearNewServers(&next, added)
	f.expireIncarnations()
	f.mu.Unlock()
	if added > 0 || len(gone) > 0 {
		f.log.Info().Int("servers", len(next.rows)).Int("added", added).Int("gone", len(gone)).
			Dur("age", f.now().Sub(l.AsOf)).Msg("list of backend servers changed")
	}
	for _, id := range gone {
		f.pool.Forget(id)
	}
	f.pool.Sweep()
	return true
}

// refreshServers updates the remembered servers by the current list, and forgets those that
// were not requested for idleServerTTL. It needs f.mu.
func (f *Fleet) refreshServers() {
	now := f.now()
	for id, s := range f.servers {
		row := f.list.lookup(id)
		s.Draining, s.Cold = row.Draining, row.Cold
		if s.idle() && now.Sub(s.requestedAt) > idleServerTTL {
			delete(f.servers, id)
		}
	}
}

// idle reports whether nothing runs on the server for this VM and nothing is known of it that
// holds for as long as it is listed.
func (s *Server) idle() bool { return s.use == (placement.Usage{}) && !s.stale && s.dead == nil }

// server returns what is known of a listed server. It needs f.mu.
func (f *Fleet) server(row *Backend) *Server {
	s := f.servers[row.ID]
	if s == nil {
		s = &Server{Backend: *row, rankVersion: -1, accepts: f.incarnationOf(row.incarnation()), cordoned: f.cordons.ids[row.ID]}
		f.servers[row.ID] = s
	}
	s.requestedAt = f.now()
	return s
}

// listedServer returns the listed server with an id, or nil. It needs f.mu.
func (f *Fleet) listedServer(id string) *Server {
	if row := f.list.lookup(id); row != nil {
		return f.server(row)
	}
	return nil
}

// AsOf returns when the current list was read.
func (f *Fleet) AsOf() time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.asOf
}

// SetPeerUse sets what other VMs have running on each server, by server id.
func (f *Fleet) SetPeerUse(use map[string]placement.Usage) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.peerUse = use
}

// SetRouters sets this VM's name and the routers that place requests. Each server has a
// rendezvous order of these routers.
func (f *Fleet) SetRouters(self string, routers []string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.routerCount.set(len(routers), f.now())
	if slices.Equal(f.routers, routers) {
		return
	}
	f.self, f.routers = self, routers
	f.routersVersion++
}

// rank returns this VM's position in a server's rendezvous order. It is computed on demand,
// which is seldom. Computing it for all servers at each change of routers would take
// milliseconds, several times a second while hundreds of VMs are restarted in turn. It
// needs f.mu.
func (f *Fleet) rank(s *Server) int {
	if s.rankVersion != f.routersVersion {
		s.rank, s.rankVersion = placement.RendezvousRank(s.ID, f.self, f.routers), f.routersVersion
	}
	return s.rank
}

// OwnUse returns what this VM has running on each server, by server id.
func (f *Fleet) OwnUse() map[string]placement.Usage {
	f.mu.Lock()
	defer f.mu.Unlock()
	out := map[string]placement.Usage{}
	for id, s := range f.servers {
		if s.use != (placement.Usage{}) {
			out[id] = s.use
		}
	}
	return out
}

// ServiceTime returns the average duration of a call at a server once it has a slot; 0: not
// known.
func (f *Fleet) ServiceTime(s *Server) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return time.Duration(s.serviceTimeMS * float64(time.Millisecond))
}

// avoided reports whether there is a reason not to send requests to the server.
func (s *Server) avoided(now time.Time) bool {
	return now.Before(s.avoidUntil) || now.Before(s.unreachedUntil) || now.Before(s.suspectedUntil)
}

// Report is what this VM reports to other VMs about servers, by id.
type Report struct {
	Avoid     []string // avoided by this VM's own observations
	Suspected []string // suspected after deaths of neighbours or by peer reports
	Alive     []string // heard within livenessWindow
}

// Report returns what this VM knows of its servers that other VMs may not know.
func (f *Fleet) Report() Report {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.now()
	var o Report
	for _, s := range f.servers {
		switch {
		case s.stale || s.dead != nil || now.Before(s.avoidUntil) || now.Before(s.unreachedUntil):
			o.Avoid = append(o.Avoid, s.ID)
		case now.Sub(s.lastHeard) < livenessWindow:
			o.Alive = append(o.Alive, s.ID)
		case now.Before(s.suspectedUntil):
			o.Suspected = append(o.Suspected, s.ID)
		}
	}
	for _, ids := range [][]string{o.Avoid, o.Suspected, o.Alive} {
		slices.Sort(ids)
	}
	return o
}

// Lookup returns the server with an id if it may take a request, or nil.
func (f *Fleet) Lookup(id string) *Server {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.listedServer(id)
	if s == nil || f.withholdsWork(s, backpressure.NewWork) || !s.open(f.now()) {
		return nil
	}
	return s
}

// Lost reports whether a server has left the list or is draining, or was judged dead here
// or by another VM and has not been heard since.
func (f *Fleet) Lost(s *Server) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	listed := f.servers[s.ID] == s && s.inService()
	dead := s.diedAt.After(s.lastHeard) && f.now().Sub(s.diedAt) <= deadAvoid
	return !listed || dead
}

// UseOf returns what is known to run on a server, of this VM and of the others.
func (f *Fleet) UseOf(s *Server) placement.Usage {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.useOf(s, f.now())
}

// At returns the server of a service at an address if it may take a request, or nil.
func (f *Fleet) At(service, addr string) *Server {
	f.mu.Lock()
	defer f.mu.Unlock()
	if addr == "" {
		return nil
	}
	for _, i := range f.list.byService[service] {
		if row := &f.list.rows[i]; row.Address == addr {
			if s := f.server(row); s.open(f.now()) {
				return s
			}
		}
	}
	return nil
}

// Take adds a request's use to a server.
func (f *Fleet) Take(s *Server, u placement.Usage) {
	f.mu.Lock()
	defer f.mu.Unlock()
	s.use = s.use.Add(u)
}

// Release subtracts a request's use from a server.
func (f *Fleet) Release(s *Server, u placement.Usage) {
	f.Take(s, u.Negated())
}

// Died returns a channel that is closed when the server is judged dead.
func (f *Fleet) Died(s *Server) <-chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()
	if s.died == nil {
		s.died = make(chan struct{})
	}
	return s.died
}

// Suspected returns a channel that is closed when the deaths of neighbours, or a peer
// report, give reason to probe the server.
func (f *Fleet) Suspected(s *Server) <-chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()
	if s.suspicion == nil {
		s.suspicion = make(chan struct{})
	}
	return s.suspicion
}

// Heard records that bytes came from the server.
func (f *Fleet) Heard(s *Server) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.hear(s)
}

// SilentFor returns the time since this VM last received bytes from the server.
func (f *Fleet) SilentFor(s *Server) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.now().Sub(s.lastHeard)
}
