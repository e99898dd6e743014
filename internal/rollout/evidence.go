package rollout

import (
	"cmp"
	"maps"
	"math"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Counts counts answers, and requests that still wait for one. In a Row it covers one
// route, one measure and one server; sums cover several of them.
type Counts struct {
	Answers  int `cbor:"1,keyasint,omitempty"`
	Failures int `cbor:"2,keyasint,omitempty"` // included in Answers
	// Times counts the successful answers by bucket of their duration.
	Times map[uint8]int `cbor:"3,keyasint,omitempty"`
	// Waiting counts the requests without an answer by bucket of their age. Without it a
	// slow version would be judged by its quick answers, which come first.
	Waiting map[uint8]int `cbor:"4,keyasint,omitempty"`
}

const (
	// bucketsPerOctave is the number of buckets per doubling of the duration. The bounds of
	// a bucket differ by a fifth.
	bucketsPerOctave = 4
	// firstBucket is the duration in the middle of bucket 0.
	firstBucket = 100 * time.Microsecond
)

// bucketOf returns the bucket of a duration.
func bucketOf(d time.Duration) uint8 {
	n := bucketsPerOctave * math.Log2(float64(d)/float64(firstBucket))
	return uint8(min(max(math.Round(n), 0), math.MaxUint8))
}

// bucketTime returns the duration in the middle of a bucket.
func bucketTime(bucket int) time.Duration {
	return time.Duration(float64(firstBucket) * math.Exp2(float64(bucket)/bucketsPerOctave))
}

// note counts one answer. If took is 0, its duration is not counted.
func (c *Counts) note(failed bool, took time.Duration) {
	c.Answers++
	if failed {
		c.Failures++
		return // the duration of a failure is no measure of good answers
	}
	if took <= 0 {
		return
	}
	if c.Times == nil {
		c.Times = map[uint8]int{}
	}
	c.Times[bucketOf(took)]++
}

// plus returns the sum of both.
func (c Counts) plus(o Counts) Counts {
	return Counts{
		Answers: c.Answers + o.Answers, Failures: c.Failures + o.Failures,
		Times: sum(c.Times, o.Times), Waiting: sum(c.Waiting, o.Waiting),
	}
}

func sum(a, b map[uint8]int) map[uint8]int {
	if len(b) == 0 {
		return a
	}
	out := maps.Clone(a)
	if out == nil {
		out = make(map[uint8]int, len(b))
	}
	for bucket, n := range b {
		out[bucket] += n
	}
	return out
}

// minus returns the answers since o, and the requests that wait now.
func (c Counts) minus(o Counts) Counts {
	out := Counts{Answers: c.Answers - o.Answers, Failures: c.Failures - o.Failures, Times: map[uint8]int{}, Waiting: c.Waiting}
	for b, n := range c.Times {
		if n -= o.Times[b]; n > 0 {
			out.Times[b] = n
		}
	}
	return out
}

// Measure is the property of an answer that is compared.
type Measure uint8

// Measures.
const (
	Response Measure = 0 // a call's answer, or a stream's first event
	Pace     Measure = 1 // the mean time between a stream's first events
)

// Cell identifies a group of answers that are compared with one another.
type Cell struct {
	Route   string  `cbor:"1,keyasint"`
	Measure Measure `cbor:"2,keyasint,omitempty"`
}

// compare orders cells, which makes the evaluation of the same evidence deterministic.
func (c Cell) compare(o Cell) int {
	return cmp.Or(cmp.Compare(c.Route, o.Route), cmp.Compare(c.Measure, o.Measure))
}

// Row holds the answers of one cell by one server. Servers of the former version are
// combined in groups. A single faulty server must be told apart from a faulty version.
type Row struct {
	Cell
	Target bool   `cbor:"3,keyasint,omitempty"`
	Server string `cbor:"4,keyasint"`
	Counts Counts `cbor:"5,keyasint"`
}

// formerGroups bounds the rows on the former version, which may have hundreds of servers.
// If it has fewer servers than groups, nearly all of them are told apart.
const formerGroups = 16

// serverGroup returns the group of a server of the former version.
func serverGroup(server string) string {
	return strconv.FormatUint(xxhash.Sum64String(server)%formerGroups, 16)
}

// Report is what one incarnation of a router observed of one roll-out.
type Report struct {
	Service string `cbor:"1,keyasint"`
	Number  uint64 `cbor:"2,keyasint"`
	// Requests counts the requests that came, by route. Sent counts those of them that were
	// sent to the new version.
	Requests map[string]int `cbor:"3,keyasint,omitempty"`
	Sent     int            `cbor:"4,keyasint,omitempty"`
	Rows     []Row          `cbor:"5,keyasint,omitempty"`
	// Streams counts the streams under way by the version that they were last sent to.
	// LongestStream is the longest time that one has taken there.
	Streams       map[string]int `cbor:"6,keyasint,omitempty"`
	LongestStream time.Duration  `cbor:"7,keyasint,omitempty"`
}

// rowKey identifies a Row within a Recorder.
type rowKey struct {
	cell   Cell
	target bool
	server string
}

// observedRollout holds a router's observations of one roll-out.
type observedRollout struct {
	number   uint64
	requests map[string]int
	sent     int
	rows     map[rowKey]*Counts
	pending  map[uint64]pendingRequest
}

// pendingRequest is a request that was sent to a server and has no answer yet.
type pendingRequest struct {
	key   rowKey
	began time.Time
}

// Ticket identifies a request at a server from Begin until End. The zero Ticket stands for
// a request that is not observed.
type Ticket struct {
	service string
	number  uint64
	id      uint64
}

// Recorder records a router's observations of the roll-outs under way. It is safe for
// concurrent use.
type Recorder struct {
	now func() time.Time

	mu       sync.Mutex
	services map[string]*observedRollout
	lastID   uint64
	streams  map[string]*serviceStreams // by service, whether or not a roll-out is under way
}

// serviceStreams are the streams of a service.
type serviceStreams struct {
	underWay map[string]int // by version
	longest  time.Duration
}

// NewRecorder returns an empty Recorder.
func NewRecorder(now func() time.Time) *Recorder {
	return &Recorder{now: now, services: map[string]*observedRollout{}, streams: map[string]*serviceStreams{}}
}

// Watch sets the roll-outs under way, as numbers by service. Observations of all others are
// dropped.
func (r *Recorder) Watch(underWay map[string]uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	maps.DeleteFunc(r.services, func(service string, w *observedRollout) bool { return underWay[service] != w.number })
	for service, number := range underWay {
		if r.services[service] == nil {
			r.services[service] = &observedRollout{
				number: number, requests: map[string]int{}, rows: map[rowKey]*Counts{}, pending: map[uint64]pendingRequest{},
			}
		}
	}
}

// lookup returns a roll-out under way, or nil. It needs r.mu.
func (r *Recorder) lookup(service string, number uint64) *observedRollout {
	w := r.services[service]
	if w == nil || w.number != number {
		return nil
	}
	return w
}

// Request records a request that came for a service.
func (r *Recorder) Request(service, route string, c Choice) {
	if c.Number == 0 {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if w := r.lookup(service, c.Number); w != nil {
		w.requests[route]++
	}
}

// Sent records that a request is sent to the new version, whether or not its answer is
// observed.
func (r *Recorder) Sent(service string, c Choice) {
	if !c.Target {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if w := r.lookup(service, c.Number); w != nil {
		w.sent++
	}
}

// Begin starts the observation of a request that is sent to a server.
func (r *Recorder) Begin(service, route string, c Choice, server string) Ticket {
	if c.Number == 0 {
		return Ticket{}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	w := r.lookup(service, c.Number)
	if w == nil {
		return Ticket{}
	}
	r.lastID++
	w.pending[r.lastID] = pendingRequest{keyOf(Cell{Route: route}, c, server), r.now()}
	return Ticket{service, c.Number, r.lastID}
}

func keyOf(cell Cell, c Choice, server string) rowKey {
	if c.Target {
		return rowKey{cell, true, server}
	}
	return rowKey{cell, false, serverGroup(server)}
}

// End records the server's answer, or its first event. The duration is not compared if the
// server is cold, that is, has just started.
func (r *Recorder) End(t Ticket, failed, cold bool) {
	r.close(t, func(w *observedRollout, request pendingRequest) {
		took := r.now().Sub(request.began)
		if cold {
			took = 0
		}
		w.row(request.key).note(failed, took)
	})
}

// Drop forgets a request that was aborted or refused, which is no evidence on the version.
func (r *Recorder) Drop(t Ticket) { r.close(t, func(*observedRollout, pendingRequest) {}) }

func (r *Recorder) close(t Ticket, note func(*observedRollout, pendingRequest)) {
	if t.id == 0 {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	w := r.lookup(t.service, t.number)
	if w == nil {
		return
	}
	if request, ok := w.pending[t.id]; ok {
		delete(w.pending, t.id)
		note(w, request)
	}
}

// Pace records the mean time between a stream's first events.
func (r *Recorder) Pace(service, route string, c Choice, server string, gap time.Duration) {
	if c.Number == 0 {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if w := r.lookup(service, c.Number); w != nil {
		w.row(keyOf(Cell{route, Pace}, c, server)).note(false, gap)
	}
}

func (w *observedRollout) row(k rowKey) *Counts {
	if w.rows[k] == nil {
		w.rows[k] = &Counts{}
	}
	return w.rows[k]
}

// StreamSent records that a stream is sent to a version. The returned function records its end
// there.
func (r *Recorder) StreamSent(service, version string) (end func()) {
	began := r.now()
	r.mu.Lock()
	defer r.mu.Unlock()
	v := r.streams[service]
	if v == nil {
		v = &serviceStreams{underWay: map[string]int{}}
		r.streams[service] = v
	}
	v.underWay[version]++
	return func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		if v.underWay[version]--; v.underWay[version] == 0 {
			delete(v.underWay, version)
		}
		v.longest = max(v.longest, r.now().Sub(began))
	}
}

// Reports returns all observations, or nil if no roll-out is under way.
func (r *Recorder) Reports() []Report {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []Report
	for service, w := range r.services {
		t := Report{Service: service, Number: w.number, Requests: maps.Clone(w.requests), Sent: w.sent}
		for k, c := range w.rowsWithPending(r.now()) {
			t.Rows = append(t.Rows, Row{Cell: k.cell, Target: k.target, Server: k.server, Counts: c})
		}
		if v := r.streams[service]; v != nil {
			t.Streams, t.LongestStream = maps.Clone(v.underWay), v.longest
		}
		out = append(out, t)
	}
	return out
}

// rowsWithPending returns a copy of the rows that also counts the requests without an answer
// as waiting, by bucket of their age.
func (w *observedRollout) rowsWithPending(now time.Time) map[rowKey]Counts {
	out := make(map[rowKey]Counts, len(w.rows))
	for k, c := range w.rows {
		out[k] = Counts{Answers: c.Answers, Failures: c.Failures, Times: maps.Clone(c.Times)}
	}
	for _, request := range w.pending {
		c := out[request.key]
		if c.Waiting == nil {
			c.Waiting = map[uint8]int{}
		}
		c.Waiting[bucketOf(now.Sub(request.began))]++
		out[request.key] = c
	}
	return out
}
