package forward

import (
	"context"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/rs/zerolog"

	"github.com/amaranthshelf/amaranthshelf/internal/admission"
	"github.com/amaranthshelf/amaranthshelf/internal/result"
	"github.com/amaranthshelf/amaranthshelf/internal/result/resulthttp"
	"github.com/amaranthshelf/amaranthshelf/internal/rollout"
	"github.com/amaranthshelf/amaranthshelf/internal/routes"
	"github.com/amaranthshelf/amaranthshelf/internal/scheduler"
	"github.com/amaranthshelf/amaranthshelf/internal/upstream"
)

// unpreparedHold is how long a router that has just started keeps a request until
// it holds a route list and the list of backend servers. The load pattern: all
// routers restart at once, and their callers come back with the one retry that
// they have, some tenths of a second before the lists do. Refused, they are lost;
// a caller that is kept this long is still served in time.
const unpreparedHold = 600 * time.Millisecond

// unpreparedShare of the caller's own time is the most that it is kept.
const unpreparedShare = 0.2

// unpreparedRetry is when a VM without a route list expects to have one: it asks
// every few hundred milliseconds.
const unpreparedRetry = 300 * time.Millisecond

// Bounds of what one router holds and writes.
const (
	// maxHeld requests are some seconds of the most that a small VM can carry.
	maxHeld = 4096
	// defaultHeldBytes of bodies at once: a quarter of a VM of 128 MB.
	defaultHeldBytes = 32 << 20
	// chunkedBytes stands for a body that does not tell its length.
	chunkedBytes = 64 << 10
	// refusalWrite bounds the write of a refusal to a caller that does not read.
	refusalWrite = 5 * time.Second
	// lastWrite is for the last bytes of an answer, behind its time.
	lastWrite = 100 * time.Millisecond
)

// elsewhere is when a caller that is refused by a VM that shuts down may try
// another.
const elsewhere = 50 * time.Millisecond

// Options are the parts that a Handler works with.
type Options struct {
	Zone   string
	Wire   Wire
	Pool   *upstream.Pool
	Fleet  *upstream.Fleet
	Routes func() *routes.Table // nil result: none held yet
	// Prepared is closed once the lists that requests need are held.
	ListsReady     <-chan struct{}
	RetryAllowance RetryAllowance
	Log            zerolog.Logger
	// Ordinary takes the lines about what went well; they may be left out under load.
	RoutineLog zerolog.Logger
	// Metrics is where the counters are registered.
	Metrics         *metrics.Set
	SuspectContents *SuspectContents
	// Find looks for what a stream left that another router carried; nil: nowhere.
	FindOrphan func(ctx context.Context, identity uint64) (Orphan, bool)
	// Placer decides for all VMs where streams go; nil: this VM decides.
	Placer Placer
	// Spending is told of each second send, after the budget counted it; nil: nobody.
	ReportRetries func()
	// Rollouts says which versions may run a request; nil: any.
	Rollouts *Rollouts
	// TooLate reports that a request could not be finished any more, since this VM
	// is shutting down. takes is how long it is expected to last; 0: not known.
	CannotFinish func(stream bool, takes time.Duration) bool
	// Closing reports that callers should go elsewhere with their next request.
	Closing func() bool
}

// Handler serves callers' requests. Safe for concurrent use.
type Handler struct {
	o      Options
	prober *prober
	kept   keptBook
	paces  paceBook
	held   *admission.InFlight
	Stats  *Stats

	mu      sync.Mutex
	vms     int
	budgets map[string]*Budget
	short   []string // services that have no memory for copies
}

// NewHandler returns a Handler.
func NewHandler(o Options) *Handler {
	if o.ReportRetries == nil {
		o.ReportRetries = func() {}
	}
	if o.Placer == nil {
		o.Placer = alone{}
	}
	if o.Rollouts == nil {
		o.Rollouts = NewRollouts()
	}
	h := &Handler{o: o, vms: 1, budgets: map[string]*Budget{}, Stats: NewStats(o.Metrics), held: admission.NewInFlight(maxHeld, defaultHeldBytes)}
	h.prober = newProber(o.Pool, o.Fleet, o.Wire)
	return h
}

// Kept are the streams under way here of which a copy is kept.
func (h *Handler) ResumableRuns() []ResumableRun { return h.kept.all() }

// Paces are what was observed of each service's engines.
func (h *Handler) Paces() map[string]scheduler.EngineTiming { return h.paces.all() }

// SetVMs says how many VMs share the services' retry budgets.
func (h *Handler) SetVMs(n int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.vms = n
	for _, b := range h.budgets {
		b.SetVMs(n)
	}
}

// SetPaces takes what all VMs observed of each service's engines.
func (h *Handler) SetPaces(paces map[string]scheduler.EngineTiming) { h.paces.learn(paces) }

// SetShort names the services whose memory is needed for prompts: no copies are made.
func (h *Handler) SetCopiesDisabled(services []string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.short = services
}

func (h *Handler) isShort(service string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return slices.Contains(h.short, service)
}

// Spent is what this VM saw and sent again of late, by service.
func (h *Handler) RetryUsage() map[string]RetryUsage {
	h.mu.Lock()
	defer h.mu.Unlock()
	out := make(map[string]RetryUsage, len(h.budgets))
	for service, b := range h.budgets {
		out[service] = b.OwnUsage()
	}
	return out
}

// SetSpent takes what the other VMs together saw and sent.
func (h *Handler) SetPeerRetryUsage(others map[string]RetryUsage) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for service, b := range h.budgets {
		b.SetPeerUsage(others[service])
	}
}

func (h *Handler) budget(service string) *Budget {
	h.mu.Lock()
	defer h.mu.Unlock()
	b := h.budgets[service]
	if b == nil {
		b = NewBudget(h.o.RetryAllowance, time.Now)
		b.SetVMs(h.vms)
		h.budgets[service] = b
	}
	return b
}

// request is one caller's request on its way.
type request struct {
	Caller
	ctx       context.Context // ends with the caller or the time that it has
	route     *routes.Route
	service   *routes.Service
	workspace string
	priority  int
	arrived   time.Time
	expires   time.Time
	digest    uint64
	out       upstream.Request
	rec       *SendHistory
	budget    *Budget
	choice    rollout.Choice
	// refused: whoever decided about the request also said when its caller may come
	// back. retryAfter 0: asking again is no use.
	refused    bool
	retryAfter time.Duration
	leave      func() // gives the place of its body back; nil: it has none
}

// heldBytes is what a request's body counts for, before it is read.
func heldBytes(r *http.Request) int64 {
	if r.ContentLength < 0 {
		return chunkedBytes
	}
	return r.ContentLength
}

// id is the request's id, "" of one that was not read so far.
func (q *request) id() string {
	if q == nil {
		return ""
	}
	return q.RequestID
}

// left is what is left of the caller's and the route's time.
func (q *request) left() time.Duration { return time.Until(q.expires) }

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	arrived := time.Now()
	rc := http.NewResponseController(w)
	// A connection that supports no deadline is a test's; nothing is lost there.
	_ = rc.SetWriteDeadline(arrived.Add(refusalWrite))
	h.prepare(r)
	q, err := h.admit(w, r, arrived)
	if q != nil && q.leave != nil {
		defer q.leave()
	}
	if err != nil {
		h.o.RoutineLog.Info().Str("request", q.id()).Str("path", r.URL.Path).Int("code", int(result.CodeOf(err))).Msg("not admitted")
		h.refuse(w, err)
		return
	}
	// A caller that does not read must not hold the answer beyond its time.
	_ = rc.SetWriteDeadline(q.expires.Add(lastWrite))
	ctx, cancel := context.WithDeadline(r.Context(), q.expires)
	defer cancel()
	q.ctx = ctx
	h.chooseVersion(q)
	q.budget.CountRequest()
	h.Stats.Requests.Inc()
	if q.route.Kind == routes.Stream {
		h.stream(w, q)
		return
	}
	h.call(w, q)
}

// prepare waits, on a router that has just started, for its lists.
func (h *Handler) prepare(r *http.Request) {
	select {
	case <-h.o.ListsReady:
		return
	default:
	}
	hold := unpreparedHold
	if c, err := h.o.Wire.ReadCaller(r.Header); err == nil && c.Deadline > 0 {
		hold = min(hold, time.Duration(unpreparedShare*float64(c.Deadline)))
	}
	t := time.NewTimer(hold)
	defer t.Stop()
	select {
	case <-h.o.ListsReady:
	case <-t.C:
	case <-r.Context().Done():
	}
}

// admit checks a request and reads it whole. Everything it refuses has not run.
// The request is nil where it was refused before its headers were read.
func (h *Handler) admit(w http.ResponseWriter, r *http.Request, arrived time.Time) (*request, error) {
	table := h.o.Routes()
	if table == nil {
		return nil, result.New(result.NoRouteList).WithRetryAfter(unpreparedRetry)
	}
	route := table.Match(r.Host, rawPath(r))
	if route == nil {
		return nil, result.New(result.NoRoute)
	}
	if h.o.CannotFinish(route.Kind == routes.Stream, 0) {
		return nil, result.New(result.ShuttingDown).WithRetryAfter(elsewhere)
	}
	caller, err := h.o.Wire.ReadCaller(r.Header)
	if err != nil {
		return nil, result.Newf(result.UnsupportedHeader, "%v", err)
	}
	q := &request{Caller: caller, route: route, priority: route.Priority, arrived: arrived, expires: arrived.Add(route.Timeout)}
	if caller.Deadline > 0 && caller.Deadline < route.Timeout {
		q.expires = arrived.Add(caller.Deadline)
	}
	if err := q.authorize(table); err != nil {
		return q, err
	}
	q.service = table.Service(route.PickRandom())
	if route.Kind == routes.Stream && h.o.CannotFinish(true, h.expected(q)) {
		return q, result.New(result.ShuttingDown).WithRetryAfter(elsewhere)
	}
	q.rec = NewSendHistory(route.Repeatable(), route.MaxAttempts)
	q.budget = h.budget(q.service.Name)
	return q, h.read(w, r, q, bodyLimit(table))
}

// rawPath is the path as the caller sent it, without the query.
func rawPath(r *http.Request) string {
	path, _, _ := strings.Cut(r.RequestURI, "?")
	return path
}

// read reads the body and looks whether its content may run.
func (h *Handler) read(w http.ResponseWriter, r *http.Request, q *request, limit int64) error {
	if r.ContentLength > limit {
		w.Header().Set("Connection", "close") // the rest is not read
		return result.New(result.BodyTooLarge)
	}
	leave, ok := h.held.Enter(heldBytes(r))
	if !ok {
		return result.New(result.QueueFull).WithRetryAfter(elsewhere)
	}
	q.leave = leave
	body, err := readBody(w, r, limit, q.expires)
	if err != nil {
		w.Header().Set("Connection", "close")
		return err
	}
	q.out = upstream.Request{Method: r.Method, URI: r.RequestURI, Host: r.Host, Header: endToEnd(r.Header), Body: body}
	q.digest = digest(rawPath(r), q.workspace, body)
	if until, held := h.o.SuspectContents.Quarantined(q.digest); held {
		return result.New(result.ContentHeldBack).WithRetryAfter(time.Until(until))
	}
	return nil
}

func (q *request) authorize(table *routes.Table) error {
	if !table.List.Keyed {
		return nil
	}
	holder := table.WorkspaceByKey(q.Key)
	if q.Key == "" || holder == nil {
		if q.route.Public {
			return nil
		}
		return result.New(result.Unauthorized)
	}
	q.workspace = holder.Name
	if holder.Priority != nil {
		q.priority = *holder.Priority
	}
	return nil
}

// refuse answers with an error of this system's own.
func (h *Handler) refuse(w http.ResponseWriter, err error) {
	e := *result.From(err)
	h.Stats.refused(e.Code)
	if e.RetryAfter > 0 {
		w.Header().Set("Retry-After", h.o.Wire.RetryAfter(e.RetryAfter))
		e.RetryAfter = 0
	}
	if h.o.Closing() {
		w.Header().Set("Connection", "close")
	}
	resulthttp.Write(w, "", &e)
}

// giveUp is the final answer to a request that was admitted.
func (h *Handler) giveUp(w http.ResponseWriter, q *request, code result.Code) {
	code = q.rec.FinalCode(code)
	e := result.New(code).WithRan(q.rec.Ran())
	if after := q.comeBack(); result.Lookup(code).Ran == result.RanNo && after > 0 {
		e = e.WithRetryAfter(after)
	}
	e.RequestID = q.RequestID
	h.o.Log.Info().Str("request", q.RequestID).Str("route", q.route.Name).Int("code", int(code)).
		Int("sends", q.rec.arrivals).Dur("held", time.Since(q.arrived)).Msg("gave up")
	h.refuse(w, e)
}
