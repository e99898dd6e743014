package callqueue

import (
	"math"
	"slices"
	"strings"
	"time"
)

const (
	// grantTTL is how long a grant counts that no report of its router confirms.
	grantTTL = 700 * time.Millisecond
	// routerTTL is the silence after which a router's calls count no more: two heartbeats are
	// missing and the third is due.
	routerTTL = 1100 * time.Millisecond
	// slowdownDecay is the age at which a stated slowdown has lost about two thirds of its
	// weight.
	slowdownDecay = 200 * time.Millisecond
	// maxSlowdown bounds the weight of one statement.
	maxSlowdown = 10
	// timeWeight is the weight of one ended call in the mean time of calls.
	timeWeight = 0.05
	// avoidTTL is how long a report counts that a server is to be avoided. avoidReports
	// routers must report it, since the fault of one may be its own link.
	avoidTTL     = 500 * time.Millisecond
	avoidReports = 2
)

// Server is a server that calls may be granted to.
type Server struct {
	ID      string
	Service string
	Version string
	Slots   int
}

// Report is what a router reports of a service's servers, by server id.
type Report struct {
	Incarnation uint64 // of the router's process
	Seq         uint64 // grows with each report
	LastGrant   uint64 // the last grant that InFlight includes
	InFlight    map[string]int
	Ended       map[string]Ended
	Stated      map[string]Stated
	Avoid       []string
	Rejections  map[string]Rejections
}

// Ended sums the calls that have ended since the last report.
type Ended struct {
	Calls int
	Time  time.Duration // of all, without waits for a slot, at the server's usual speed
}

// Stated is what a server stated in an answer.
type Stated struct {
	Requests int     // that run or wait there, of all VMs
	Slowdown float64 // 0: not stated
	Age      time.Duration
}

// server is the account of one server.
type server struct {
	Server
	inFlight   int           // calls of all routers, by reports and unconfirmed grants
	unreported float64       // further calls there by its last statement
	slowdown   float64       // by its last statement
	statedAt   time.Time     // when it made the statement
	callTime   time.Duration // mean at its usual speed; 0: unknown
	avoidedBy  map[string]time.Time
	finish     time.Duration // finishTime at the time of the last free
	fragility  fragility
}

// router is the account of one router.
type router struct {
	incarnation, seq uint64
	inFlight         map[*server]int
	grants           []grant
	heardAt          time.Time
}

type grant struct {
	number uint64
	server *server
	at     time.Time
}

// SetServers replaces the servers. Draining and leaving ones must not be among them.
func (q *Queue) SetServers(all []Server) {
	listed := map[string]bool{}
	for _, row := range all {
		listed[row.ID] = true
		s := q.service(row.Service)
		known := s.byID[row.ID]
		if known == nil {
			known = &server{avoidedBy: map[string]time.Time{}}
			s.byID[row.ID] = known
			s.servers = append(s.servers, known)
		}
		known.Server = row
	}
	for _, s := range q.services {
		s.serversChanged = true
		s.servers = slices.DeleteFunc(s.servers, func(v *server) bool { return !listed[v.ID] })
		slices.SortFunc(s.servers, func(a, b *server) int { return strings.Compare(a.ID, b.ID) })
		for id := range s.byID {
			if !listed[id] {
				delete(s.byID, id)
			}
		}
	}
}

func (s *service) account(vm string) *router {
	r := s.routers[vm]
	if r == nil {
		r = &router{inFlight: map[*server]int{}}
		s.routers[vm] = r
	}
	return r
}

func (r *router) grant(number uint64, to *server, now time.Time) {
	to.inFlight++
	r.grants = append(r.grants, grant{number, to, now})
	r.heardAt = now
}

// dropGrants ends the account of grants that match.
func (r *router) dropGrants(match func(grant) bool) {
	r.grants = slices.DeleteFunc(r.grants, func(g grant) bool {
		drop := match(g)
		if drop {
			g.server.inFlight--
		}
		return drop
	})
}

// setInFlight replaces the reported calls in flight.
func (r *router) setInFlight(s *service, report map[string]int) {
	for server, n := range r.inFlight {
		server.inFlight -= n
	}
	clear(r.inFlight)
	for id, n := range report {
		if server := s.byID[id]; server != nil && n > 0 {
			r.inFlight[server] = n
			server.inFlight += n
		}
	}
}

// Report takes a router's report. The calls in flight of an outdated one are ignored.
func (q *Queue) Report(serviceName, vm string, report *Report, now time.Time) {
	s := q.service(serviceName)
	r := s.account(vm)
	if r.incarnation != report.Incarnation || report.Seq > r.seq {
		restarted := r.incarnation != report.Incarnation
		if restarted && r.incarnation != 0 {
			s.release(nil, func(c *Call) bool { return c.Router == vm })
		}
		r.incarnation, r.seq, r.heardAt = report.Incarnation, report.Seq, now
		r.dropGrants(func(g grant) bool { return restarted || g.number <= report.LastGrant })
		r.setInFlight(s, report.InFlight)
	}
	for id, e := range report.Ended {
		if server := s.byID[id]; server != nil && e.Calls > 0 {
			server.callTime = mean(server.callTime, e)
			s.callTime = mean(s.callTime, e)
		}
	}
	for id, st := range report.Stated {
		if server := s.byID[id]; server != nil {
			server.learn(st, now)
		}
	}
	for id, r := range report.Rejections {
		if server := s.byID[id]; server != nil {
			server.fragility.learn(r, max(1, server.Slots), now)
			s.noteFragile(now)
		}
	}
	for _, id := range report.Avoid {
		if server := s.byID[id]; server != nil {
			server.avoidedBy[vm] = now
		}
	}
}

// mean moves a mean time by the calls that ended.
func mean(old time.Duration, e Ended) time.Duration {
	of := e.Time / time.Duration(e.Calls)
	if old == 0 {
		return of
	}
	weight := 1 - math.Pow(1-timeWeight, float64(e.Calls))
	return old + time.Duration(weight*float64(of-old))
}

func (v *server) learn(st Stated, now time.Time) {
	if at := now.Add(-max(0, st.Age)); at.After(v.statedAt) {
		v.statedAt, v.slowdown = at, st.Slowdown
		v.unreported = float64(max(0, st.Requests-v.inFlight))
	}
}

// expiryInterval is how often accounts are examined for those that have expired. Each request
// would otherwise examine all routers.
const expiryInterval = 20 * time.Millisecond

// expire ends the accounts of silent routers and of unconfirmed grants.
func (s *service) expire(now time.Time) {
	if now.Sub(s.expiredAt) < expiryInterval {
		return
	}
	s.expiredAt = now
	for vm, r := range s.routers {
		silent := now.Sub(r.heardAt) > routerTTL
		r.dropGrants(func(g grant) bool { return silent || now.Sub(g.at) > grantTTL })
		if silent {
			r.setInFlight(s, nil)
			delete(s.routers, vm)
		}
	}
	for _, v := range s.servers {
		for vm, at := range v.avoidedBy {
			if now.Sub(at) > avoidTTL {
				delete(v.avoidedBy, vm)
			}
		}
	}
}

func (v *server) avoided() bool { return len(v.avoidedBy) >= avoidReports }

// mayRun reports whether a call may be sent to the server.
func (v *server) mayRun(c *Call) bool {
	version := slices.Contains(c.Versions, v.Version) || len(c.Versions) == 0 && v.Version == ""
	return version && !slices.Contains(c.Exclude, v.ID)
}

// isServerless reports whether no listed server may run a call.
func (s *service) isServerless(c *Call) bool {
	return !slices.ContainsFunc(s.servers, func(v *server) bool { return v.mayRun(c) })
}

// hasServer reports whether any server may run a call.
func (s *service) hasServer(c *Call, now time.Time) bool {
	s.expire(now)
	return slices.ContainsFunc(s.servers, func(v *server) bool { return !v.avoided() && v.mayRun(c) })
}

// load returns the calls that are expected at the server.
func (v *server) load(now time.Time, s *service) float64 {
	return float64(max(0, v.inFlight)) + v.unreported*decay(now.Sub(v.statedAt), s.timeAt(v))
}

// slowdownNow returns how many times longer than usual a call is expected to take.
func (v *server) slowdownNow(now time.Time) float64 {
	if !(v.slowdown > 1) { // also if it is no number
		return 1
	}
	return 1 + decay(now.Sub(v.statedAt), slowdownDecay)*(min(v.slowdown, maxSlowdown)-1)
}

// decay returns the weight of what was known some time ago.
func decay(age, constant time.Duration) float64 {
	if constant <= 0 {
		return 0
	}
	return math.Exp(-float64(max(0, age)) / float64(constant))
}

// decayedCount counts events with a weight that decays within arrivalWindow.
type decayedCount struct {
	n  float64
	at time.Time
}

// arrivalWindow is the time over which the rate of requests is averaged.
const arrivalWindow = time.Second

func (d *decayedCount) add(now time.Time) {
	d.n, d.at = d.n*decay(now.Sub(d.at), arrivalWindow)+1, now
}

// rate returns the events in a second.
func (d *decayedCount) rate(now time.Time) float64 {
	return d.n * decay(now.Sub(d.at), arrivalWindow) / arrivalWindow.Seconds()
}
