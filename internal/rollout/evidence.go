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

// Counts sum the answers of one kind.
type Counts struct {
	Answers  int `cbor:"1,keyasint,omitempty"`
	Failures int `cbor:"2,keyasint,omitempty"` // of Answers
	// Times are how many answers took how long, by bucket.
	Times map[uint8]int `cbor:"3,keyasint,omitempty"`
	// Waiting are the requests without an answer so far, by how long they wait. A version
	// that is slow would else be judged by its quick answers, which come first.
	Waiting map[uint8]int `cbor:"4,keyasint,omitempty"`
}

const (
	// bucketsPerOctave: a bucket's bounds differ by a fifth.
	bucketsPerOctave = 4
	// firstBucket is the time in the middle of bucket 0.
	firstBucket = 100 * time.Microsecond
)

// bucketOf returns the bucket of a time.
func bucketOf(d time.Duration) uint8 {
	n := bucketsPerOctave * math.Log2(float64(d)/float64(firstBucket))
	return uint8(min(max(math.Round(n), 0), math.MaxUint8))
}

// timeOf is the time in the middle of a bucket.
func timeOf(bucket int) time.Duration {
	return time.Duration(float64(firstBucket) * math.Exp2(float64(bucket)/bucketsPerOctave))
}

// note counts one answer; took 0: its time says nothing.
func (c *Counts) note(failed bool, took time.Duration) {
	c.Answers++
	if failed {
		c.Failures++
		return // a failure's time says nothing about the good answers
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

// minus returns what has come since o, and what waits now.
func (c Counts) minus(o Counts) Counts {
	out := Counts{Answers: c.Answers - o.Answers, Failures: c.Failures - o.Failures, Times: map[uint8]int{}, Waiting: c.Waiting}
	for b, n := range c.Times {
		if n -= o.Times[b]; n > 0 {
			out.Times[b] = n
		}
	}
	return out
}

// Measure is what of an answer is compared.
type Measure uint8

// The measures.
const (
	Response Measure = 0 // a call's answer, or a stream's first event
	Pace     Measure = 1 // the mean time between a stream's first events
)

// Cell names what answers have in common that are compared.
type Cell struct {
	Route   string  `cbor:"1,keyasint"`
	Measure Measure `cbor:"2,keyasint,omitempty"`
}

// compare orders cells, so that the same evidence is judged the same way each time.
func (c Cell) compare(o Cell) int {
	return cmp.Or(cmp.Compare(c.Route, o.Route), cmp.Compare(c.Measure, o.Measure))
}

// Row is the answers of one cell by one server, or one group of servers of the other
// version: a single faulty server must be told apart from a faulty version.
type Row struct {
	Cell
	Target bool   `cbor:"3,keyasint,omitempty"`
	Server string `cbor:"4,keyasint"`
	Counts Counts `cbor:"5,keyasint"`
}

// formerGroups bounds what is told of the other version, which may have hundreds of
// servers. Fewer than that are nearly all told apart.
const formerGroups = 16

// groupOf is the group of a server of the other version.
func groupOf(server string) string {
	return strconv.FormatUint(xxhash.Sum64String(server)%formerGroups, 16)
}

// Told is what one life of a router observed of one roll-out.
type Report struct {
	Service string `cbor:"1,keyasint"`
	Number  uint64 `cbor:"2,keyasint"`
	// Requests that came, by route, and those of them sent to the new version.
	Requests map[string]int `cbor:"3,keyasint,omitempty"`
	Sent     int            `cbor:"4,keyasint,omitempty"`
	Rows     []Row          `cbor:"5,keyasint,omitempty"`
}

// rowKey is a Row's place in a Book.
type rowKey struct {
	cell   Cell
	target bool
	server string
}

// watched is one roll-out as a router observes it.
type watched struct {
	number   uint64
	requests map[string]int
	sent     int
	rows     map[rowKey]*Counts
	open     map[uint64]openRun
}

// openRun is a request at a server that has not answered.
type openRun struct {
	key   rowKey
	began time.Time
}

// Ticket names a request at a server from Begin until End. The zero Ticket is of one
// that nobody watches.
type Ticket struct {
	service string
	number  uint64
	run     uint64
}

// Book is what a router observes of the roll-outs under way. Safe for concurrent use.
type Recorder struct {
	now func() time.Time

	mu       sync.Mutex
	services map[string]*watched
	runs     uint64
}

// NewBook returns an empty Book.
func NewRecorder(now func() time.Time) *Recorder {
	return &Recorder{now: now, services: map[string]*watched{}}
}

// Watch says which roll-outs are under way. The others are forgotten.
func (b *Recorder) Watch(underWay map[string]uint64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	maps.DeleteFunc(b.services, func(service string, w *watched) bool { return underWay[service] != w.number })
	for service, number := range underWay {
		if b.services[service] == nil {
			b.services[service] = &watched{
				number: number, requests: map[string]int{}, rows: map[rowKey]*Counts{}, open: map[uint64]openRun{},
			}
		}
	}
}

// at returns a roll-out under way, or nil. It needs b.mu.
func (b *Recorder) at(service string, number uint64) *watched {
	w := b.services[service]
	if w == nil || w.number != number {
		return nil
	}
	return w
}

// Request notes a request that came for a service.
func (b *Recorder) Request(service, route string, c Choice) {
	if c.Number == 0 {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if w := b.at(service, c.Number); w != nil {
		w.requests[route]++
	}
}

// Sent notes that a request is sent to the new version, whether or not its answer is
// watched.
func (b *Recorder) Sent(service string, c Choice) {
	if !c.Target {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if w := b.at(service, c.Number); w != nil {
		w.sent++
	}
}

// Begin watches for the answer of a request that is sent to a server.
func (b *Recorder) Begin(service, route string, c Choice, server string) Ticket {
	if c.Number == 0 {
		return Ticket{}
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.at(service, c.Number)
	if w == nil {
		return Ticket{}
	}
	b.runs++
	w.open[b.runs] = openRun{keyOf(Cell{Route: route}, c, server), b.now()}
	return Ticket{service, c.Number, b.runs}
}

func keyOf(cell Cell, c Choice, server string) rowKey {
	if c.Target {
		return rowKey{cell, true, server}
	}
	return rowKey{cell, false, groupOf(server)}
}

// End notes the server's answer, or its first event. A server that has just started is
// cold: its time is not compared.
func (b *Recorder) End(t Ticket, failed, cold bool) {
	b.close(t, func(w *watched, run openRun) {
		took := b.now().Sub(run.began)
		if cold {
			took = 0
		}
		w.row(run.key).note(failed, took)
	})
}

// Drop forgets a request that was broken off or refused: that says nothing of the version.
func (b *Recorder) Drop(t Ticket) { b.close(t, func(*watched, openRun) {}) }

func (b *Recorder) close(t Ticket, note func(*watched, openRun)) {
	if t.run == 0 {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.at(t.service, t.number)
	if w == nil {
		return
	}
	if run, ok := w.open[t.run]; ok {
		delete(w.open, t.run)
		note(w, run)
	}
}

// Pace notes the mean time between a stream's first events.
func (b *Recorder) Pace(service, route string, c Choice, server string, gap time.Duration) {
	if c.Number == 0 {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if w := b.at(service, c.Number); w != nil {
		w.row(keyOf(Cell{route, Pace}, c, server)).note(false, gap)
	}
}

func (w *watched) row(k rowKey) *Counts {
	if w.rows[k] == nil {
		w.rows[k] = &Counts{}
	}
	return w.rows[k]
}

// Told returns all that was observed, nil where nothing is under way.
func (b *Recorder) Reports() []Report {
	b.mu.Lock()
	defer b.mu.Unlock()
	var out []Report
	for service, w := range b.services {
		t := Report{Service: service, Number: w.number, Requests: maps.Clone(w.requests), Sent: w.sent}
		for k, c := range w.withWaiting(b.now()) {
			t.Rows = append(t.Rows, Row{Cell: k.cell, Target: k.target, Server: k.server, Counts: c})
		}
		out = append(out, t)
	}
	return out
}

// withWaiting returns the rows, with the requests that wait now.
func (w *watched) withWaiting(now time.Time) map[rowKey]Counts {
	out := make(map[rowKey]Counts, len(w.rows))
	for k, c := range w.rows {
		out[k] = Counts{Answers: c.Answers, Failures: c.Failures, Times: maps.Clone(c.Times)}
	}
	for _, run := range w.open {
		c := out[run.key]
		if c.Waiting == nil {
			c.Waiting = map[uint8]int{}
		}
		c.Waiting[bucketOf(now.Sub(run.began))]++
		out[run.key] = c
	}
	return out
}
