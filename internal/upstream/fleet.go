package upstream

import (
	"slices"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/amaranthshelf/amaranthshelf/internal/placement"
	"github.com/amaranthshelf/amaranthshelf/internal/recovery"
	"github.com/amaranthshelf/amaranthshelf/internal/rollout"
)

// Backend is one row of the list of backend servers.
type Backend struct {
	ID       string `cbor:"1,keyasint"` // of this incarnation
	Service  string `cbor:"2,keyasint"`
	Address  string `cbor:"3,keyasint"` // ip:port
	Zone     string `cbor:"4,keyasint"`
	Slots    int    `cbor:"5,keyasint"`
	Draining bool   `cbor:"6,keyasint,omitempty"`
	Version  string `cbor:"7,keyasint,omitempty"` // of its software; empty: not stated
	// Cold: it has just started, and is slower than it will be.
	Cold bool `cbor:"8,keyasint,omitempty"`
}

// List is the list of backend servers and when it was read, by this VM's clock.
type List struct {
	Backends []Backend
	AsOf     time.Time
}

// Figures of what a VM concludes from a server's behaviour.
const (
	// avoidFirst and avoidMost: a server that could not be reached, or failed, is
	// avoided for this long, doubled each time in a row. A process restarts within
	// a second; a dark one stays for several.
	avoidFirst = 500 * time.Millisecond
	avoidMost  = 4 * time.Second
	// deadFor: a dead server comes back under another id; under its own only where
	// it was cut off, which lasts for seconds.
	deadFor = 4 * time.Second
	// heardLately: a server that sent something within this time lives. An engine
	// that reads a prompt sends an event each 250 ms at least.
	heardLately = 250 * time.Millisecond
	// tellFor is how long other VMs are told of a death: some notices.
	tellFor = 1200 * time.Millisecond
	// fullFor: a full server refused; its queue moves within some tens of ms.
	fullFor = 60 * time.Millisecond
	// failuresToAvoid failed answers in a row: single ones are the service's own.
	failuresToAvoid = 3
	// loadFor is how long a reported load counts: about one call's time.
	loadFor = 300 * time.Millisecond
	// slowShare is the weight of the newest latency in the average.
	slowShare = 0.2
	// slowAfter is how much longer than its neighbours a server takes before it
	// counts as slow; below it the difference is chance.
	slowAfter = 1.6
)

// Server is what this VM knows of one backend server. Its fields belong to the
// Fleet; Backend never changes but for Draining, which the Fleet reads.
type Server struct {
	Backend
	use      placement.Usage
	died     chan struct{} // closed when it is judged dead
	doubt    chan struct{} // closed when others give reason to ask it
	heard    time.Time
	diedAt   time.Time // when it was last judged dead, here or by another VM
	turn     int       // this VM's place in its line, among the routers of turnOf
	turnOf   int
	avoid    time.Time // until; by what this VM found
	doubted  time.Time // until; by what befell its neighbours, or by hearsay
	strikes  int       // failures to reach it in a row
	failures int       // failed answers in a row
	stale    bool      // another incarnation answers at the address
	latency  float64   // average, in ms
	work     float64   // the same without what a call waited for a slot
	reported int       // requests of other VMs there, as its last answer said
	told     time.Time
}

// Fleet is what this VM knows of all backend servers. Safe for concurrent use.
type Fleet struct {
	pool *Pool
	now  func() time.Time
	log  zerolog.Logger

	mu      sync.Mutex
	asOf    time.Time
	servers map[string]*Server
	order   []*Server // of the list
	inUse   inUse
	others  map[string]placement.Usage
	outage  recovery.Outage
	self    string
	routers []string             // VMs that place requests, this one included
	changes int                  // of routers
	dead    map[string]time.Time // judged dead here, when
}

// open reports whether requests may be sent there: it is not leaving, and no other
// incarnation answers at its address.
func (s *Server) open() bool { return !s.Draining && !s.stale }

// NewFleet returns an empty Fleet that forgets the connections of servers which
// have left the list.
func NewFleet(pool *Pool, log zerolog.Logger) *Fleet {
	return &Fleet{pool: pool, log: log, now: time.Now, servers: map[string]*Server{}, dead: map[string]time.Time{}}
}

// Apply takes a list that was read later than the one held, and reports whether
// it did. An older one, from a VM that was cut off, would bring servers back
// that have left.
func (f *Fleet) Apply(l List) bool {
	f.mu.Lock()
	if !l.AsOf.After(f.asOf) {
		f.mu.Unlock()
		return false
	}
	f.asOf = l.AsOf
	next := make(map[string]*Server, len(l.Backends))
	order := make([]*Server, 0, len(l.Backends))
	for _, b := range l.Backends {
		s := f.servers[b.ID]
		if s == nil || s.Address != b.Address || s.Service != b.Service {
			s = &Server{Backend: b, died: make(chan struct{}), doubt: make(chan struct{}), turnOf: -1}
		}
		s.Draining, s.Cold = b.Draining, b.Cold
		next[b.ID] = s
		order = append(order, s)
	}
	var gone []string
	for id, s := range f.servers {
		if next[id] != s {
			gone = append(gone, id)
		}
	}
	added := len(next) + len(gone) - len(f.servers)
	f.servers, f.order = next, order
	f.inUse = f.inUse.next(l.Backends)
	f.mu.Unlock()
	if added > 0 || len(gone) > 0 {
		f.log.Info().Int("servers", len(order)).Int("added", added).Int("gone", len(gone)).
			Dur("age", f.now().Sub(l.AsOf)).Msg("backend servers changed")
	}
	for _, id := range gone {
		f.pool.Forget(id)
	}
	f.pool.Sweep()
	return true
}

// AsOf is when the list held was read.
func (f *Fleet) AsOf() time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.asOf
}

// SetOthers takes what other VMs have running on each server.
func (f *Fleet) SetPeerUse(use map[string]placement.Usage) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.others = use
}

// SetRouters names this VM and those that place requests: each server has a line
// of them.
func (f *Fleet) SetRouters(self string, routers []string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if slices.Equal(f.routers, routers) {
		return
	}
	f.self, f.routers = self, routers
	f.changes++
}

// turn is this VM's place in a server's line. It is worked out where it is needed, which
// is seldom: for all servers at each change of routers it would take milliseconds, some
// times a second while hundreds of VMs are restarted in turn. It needs f.mu.
func (f *Fleet) turn(s *Server) int {
	if s.turnOf != f.changes {
		s.turn, s.turnOf = placement.RendezvousRank(s.ID, f.self, f.routers), f.changes
	}
	return s.turn
}

// Mine is what this VM has running on each server.
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

// Work is how long a call takes at a server once it has a slot; 0: not known.
func (f *Fleet) ServiceTime(s *Server) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return time.Duration(s.work * float64(time.Millisecond))
}

// Candidates are the servers of a service that may take a request, and the same
// as placement sees them. skip leaves servers out by id. Draining servers and
// those whose address another incarnation holds are never among them.
func (f *Fleet) Candidates(service string, v rollout.Versions, kvTokens int, skip map[string]bool) ([]*Server, []placement.Candidate) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.now()
	usual := f.usualLatency(service)
	servers := f.usable(service, v, skip)
	out := make([]placement.Candidate, 0, len(servers))
	for _, s := range servers {
		out = append(out, placement.Candidate{
			ID: s.ID, Zone: s.Zone, Slots: s.Slots, KVTokens: kvTokens, Usage: f.useOf(s, now),
			RendezvousRank: f.turn(s), Avoid: s.avoided(now), Slowdown: slowness(s.latency, usual),
		})
	}
	return servers, out
}

// CallCandidates are the same servers as placement sees them for a call.
func (f *Fleet) CallCandidates(service string, v rollout.Versions, skip map[string]bool) ([]*Server, []placement.CallCandidate) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.now()
	usual := f.usualLatency(service)
	servers := f.usable(service, v, skip)
	out := make([]placement.CallCandidate, 0, len(servers))
	for _, s := range servers {
		out = append(out, placement.CallCandidate{
			Zone: s.Zone, Slots: s.Slots, Own: s.use.Requests, Others: f.others[s.ID].Requests,
			Reported: s.reported, ReportAge: now.Sub(s.told), CallTime: time.Duration(s.latency * float64(time.Millisecond)),
			Avoid: s.avoided(now), Slowdown: slowness(s.latency, usual),
		})
	}
	return servers, out
}

// usable needs f.mu.
func (f *Fleet) usable(service string, v rollout.Versions, skip map[string]bool) []*Server {
	version := f.inUse.version(service, v)
	var out []*Server
	others := 0
	for _, s := range f.order {
		switch {
		case s.Service != service || !s.open():
		case s.Version != version:
			others++
		case !skip[s.ID]:
			out = append(out, s)
		}
	}
	if v.ServerShare > 0 {
		return few(out, rollout.TrialServers(v.ServerShare, others), f.now())
	}
	return out
}

func (f *Fleet) useOf(s *Server, now time.Time) placement.Usage {
	use := s.use.Add(f.others[s.ID])
	if now.Sub(s.told) < loadFor {
		use.Requests = max(use.Requests, s.use.Requests+s.reported)
	}
	return use
}

// usualLatency is the mean over the servers of a service, in ms.
func (f *Fleet) usualLatency(service string) float64 {
	sum, n := 0.0, 0
	for _, s := range f.order {
		if s.Service == service && s.latency > 0 {
			sum += s.latency
			n++
		}
	}
	if n < 2 {
		return 0
	}
	return sum / float64(n)
}

func slowness(latency, usual float64) float64 {
	if usual == 0 || latency < slowAfter*usual {
		return 1
	}
	return latency / usual
}

// avoided reports whether there is a reason not to send anything there.
func (s *Server) avoided(now time.Time) bool { return now.Before(s.avoid) || now.Before(s.doubted) }

// Opinion is what this VM would tell others of servers, by id.
type Report struct {
	Avoid     []string // not to be used, as this VM found itself
	Suspected []string // taken for lost with their zone, or by hearsay
	Alive     []string // heard just now
}

// Opinion returns what this VM knows of its servers that others may not.
func (f *Fleet) Report() Report {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.now()
	var o Report
	for _, s := range f.order {
		switch {
		case s.stale || now.Before(s.avoid):
			o.Avoid = append(o.Avoid, s.ID)
		case now.Sub(s.heard) < heardLately:
			o.Alive = append(o.Alive, s.ID)
		case now.Before(s.doubted):
			o.Suspected = append(o.Suspected, s.ID)
		}
	}
	return o
}

// Lookup returns a server that may take a request, by id, or nil.
func (f *Fleet) Lookup(id string) *Server {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.servers[id]
	if s == nil || !s.open() {
		return nil
	}
	return s
}

// Lost reports whether a server has left the list, or is leaving, or was judged dead
// here or by another VM and not heard since.
func (f *Fleet) Lost(s *Server) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	listed := f.servers[s.ID] == s && s.open()
	dead := s.diedAt.After(s.heard) && f.now().Sub(s.diedAt) <= deadFor
	return !listed || dead
}

// UseOf is what is known to run on a server, of this VM and the others.
func (f *Fleet) UseOf(s *Server) placement.Usage {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.useOf(s, f.now())
}

// At returns the server of a service at an address that may take a request, or nil.
func (f *Fleet) At(service, addr string) *Server {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, s := range f.order {
		if s.Service == service && s.Address == addr && s.open() {
			return s
		}
	}
	return nil
}

// Take notes what a request uses of a server.
func (f *Fleet) Take(s *Server, u placement.Usage) {
	f.mu.Lock()
	defer f.mu.Unlock()
	s.use = s.use.Add(u)
}

// Give takes it off again.
func (f *Fleet) Release(s *Server, u placement.Usage) {
	f.Take(s, u.Negated())
}

// Died is closed when the server is judged dead.
func (f *Fleet) Died(s *Server) <-chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()
	return s.died
}

// Doubted is closed when its neighbours' deaths give reason to ask the server
// whether it lives.
func (f *Fleet) Suspected(s *Server) <-chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()
	return s.doubt
}

// Heard notes that bytes came from the server.
func (f *Fleet) Heard(s *Server) {
	f.mu.Lock()
	defer f.mu.Unlock()
	s.heard = f.now()
}

// HeardAgo is how long the server has been silent towards this VM.
func (f *Fleet) SilentFor(s *Server) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.now().Sub(s.heard)
}
