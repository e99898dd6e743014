package forward

import (
	"context"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/rs/zerolog"

	"github.com/amaranthshelf/amaranthshelf/internal/admission"
	"github.com/amaranthshelf/amaranthshelf/internal/handoff"
	"github.com/amaranthshelf/amaranthshelf/internal/headlimit"
	"github.com/amaranthshelf/amaranthshelf/internal/memory"
	"github.com/amaranthshelf/amaranthshelf/internal/overload"
	"github.com/amaranthshelf/amaranthshelf/internal/recovery"
	"github.com/amaranthshelf/amaranthshelf/internal/result"
	"github.com/amaranthshelf/amaranthshelf/internal/result/resulthttp"
	"github.com/amaranthshelf/amaranthshelf/internal/rollout"
	"github.com/amaranthshelf/amaranthshelf/internal/routes"
	"github.com/amaranthshelf/amaranthshelf/internal/scheduler"
	"github.com/amaranthshelf/amaranthshelf/internal/shutdown"
	"github.com/amaranthshelf/amaranthshelf/internal/streamversion"
	"github.com/amaranthshelf/amaranthshelf/internal/upstream"
)

// How long a router that has just started holds a request until it has the route list and the
// list of backend servers. When all routers restart at once, their callers come back with the
// only retry that they have, before the lists arrive: some tenths of a second before in a small
// deployment, and a second or two before in one of a thousand VMs, where they are handed out one
// after the other. A refusal would lose these requests, and no other router has the lists.
const (
	// startupMaxWaitShare is the largest part of the caller's deadline.
	startupMaxWaitShare = 0.2
	// startupMinWait applies to callers whose deadline allows it. A caller with time is held
	// for startupWaitShare of it: after that it can still be served in time.
	startupMinWait   = 600 * time.Millisecond
	startupWaitShare = 0.1
)

// startupWait returns how long a request with a deadline is held; 0: none is stated.
func startupWait(deadline time.Duration) time.Duration {
	if deadline <= 0 {
		return startupMinWait
	}
	share := func(part float64) time.Duration { return time.Duration(part * float64(deadline)) }
	return min(share(startupMaxWaitShare), max(startupMinWait, share(startupWaitShare)))
}

// noRouteListRetryAfter is the Retry-After of a VM without a route list. It polls for the
// list every few hundred milliseconds.
const noRouteListRetryAfter = 300 * time.Millisecond

// Bounds of the requests in flight and of writes.
const (
	// maxHeldRequests is the number of requests that arrive within some seconds at the
	// highest rate that a small VM can carry.
	maxHeldRequests = 4096
	// refusalWriteTimeout bounds the write of a refusal to a caller that does not read.
	refusalWriteTimeout = 5 * time.Second
	// finalWriteTimeout is granted beyond the deadline for the last bytes of an answer.
	finalWriteTimeout = 100 * time.Millisecond
)

// otherRouterRetryAfter is the Retry-After for a caller that this VM cannot serve. Another
// VM may serve it at once.
const otherRouterRetryAfter = 50 * time.Millisecond

// Options are the dependencies and settings of a Handler.
type Options struct {
	Zone   string
	Wire   Wire
	Pool   *upstream.Pool
	Fleet  *upstream.Fleet
	Routes func() *routes.Table // returns nil until a route list is received
	// Context ends the handler's work in the background; nil: nothing does.
	Context context.Context
	// ListsReady is closed once the route list and the list of backend servers are
	// received.
	ListsReady     <-chan struct{}
	RetryAllowance RetryAllowance
	Log            zerolog.Logger
	// RoutineLog receives the lines about successful work. It may drop lines under load.
	RoutineLog zerolog.Logger
	// Metrics is the set in which the counters are registered.
	Metrics         *metrics.Set
	SuspectContents *SuspectContents
	// FindOrphan looks up what is known of a stream that another router carried; nil:
	// streams are not looked up.
	FindOrphan func(ctx context.Context, wanted RunID) (ReportedRun, bool)
	// Placer grants engines to streams on behalf of all VMs; nil: this VM chooses.
	Placer Placer
	// RefusalLevel returns which new streams of a service are refused. It returns false if
	// none are, or if that is not known. nil: none are.
	RefusalLevel func(service string) (overload.Level, bool)
	// Permits grants sends to servers with a rate limit on behalf of all VMs; nil: this VM
	// shares no limit with others.
	Permits Permits
	// CallGrants grants servers to calls on behalf of all VMs; nil: this VM decides.
	CallGrants CallGrants
	// ReportRetries exchanges retry counts with the other VMs without waiting for the
	// result. It is called after each retry, and while a budget is uncertain. nil: this
	// VM reports nothing.
	ReportRetries func()
	// ContentTrials grants trials of suspect contents on behalf of all VMs; nil: this VM
	// decides.
	ContentTrials ContentTrials
	// Origins keeps the records of the versions that began streams; nil: only this VM does.
	Origins Origins
	// VersionsFresh reports whether this VM's copy of the known versions holds everything that
	// was agreed on before a moment within the lease; nil: it never does.
	VersionsFresh func() bool
	// HandOff has other VMs serve requests whose service this VM does not reach; nil: none
	// does.
	HandOff HandOff
	// Rollouts decides which versions may run a request; nil: all may.
	Rollouts *Rollouts
	// CannotFinish reports that a request cannot be finished before this VM shuts down.
	CannotFinish func(w shutdown.Work) bool
	// TimeLeft returns how long this VM, which shuts down, still serves requests; nil: not known.
	TimeLeft func() time.Duration
	// Ending ends shortly before this VM closes its connections; nil: it does not.
	Ending context.Context
	// Memory accounts for the requests and answers that the handler holds; nil: for a VM whose
	// settings state no memory.
	Memory *memory.Account
	// Closing reports that callers should send their next request to another VM.
	Closing func() bool
}

// Handler serves the requests of callers. It is safe for concurrent use.
type Handler struct {
	opts       Options
	gate       *gate
	engines    *engineCaller
	prober     *prober
	dead       deadServers
	activeRuns runRegistry
	paces      paceTracker
	resumes    resumeTimes
	speeds     speedTracker
	durations  shutdown.CallDurations
	streams    shutdown.StreamDurations
	inFlight   *admission.InFlight
	inProgress requestsInProgress
	spoilers   *spoilers
	origins    *streamversion.Store // of the streams that this VM carried
	Stats      *Stats

	mu             sync.Mutex
	vms            int
	budgets        map[string]*Budget
	copiesDisabled []string // services whose engines have no memory to spare for copies
}

// NewHandler returns a Handler.
func NewHandler(o Options) *Handler {
	if o.Context == nil {
		o.Context = context.Background()
	}
	if o.Ending == nil {
		o.Ending = context.Background()
	}
	if o.TimeLeft == nil {
		o.TimeLeft = func() time.Duration { return 0 }
	}
	if o.ReportRetries == nil {
		o.ReportRetries = func() {}
	}
	if o.Placer == nil {
		o.Placer = localPlacer{}
	}
	if o.Permits == nil {
		o.Permits = localPermits{}
	}
	if o.CallGrants == nil {
		o.CallGrants = localCallGrants{}
	}
	if o.ContentTrials == nil {
		o.ContentTrials = newLocalContentTrials()
	}
	if o.Rollouts == nil {
		o.Rollouts = NewRollouts()
	}
	if o.Origins == nil {
		o.Origins = localOrigins{}
	}
	if o.Memory == nil {
		o.Memory = memory.NewAccount(0)
	}
	if o.VersionsFresh == nil {
		o.VersionsFresh = func() bool { return false }
	}
	h := &Handler{opts: o, vms: 1, origins: newOriginTable(), budgets: map[string]*Budget{}, Stats: NewStats(o.Metrics), inFlight: admission.NewInFlight(maxHeldRequests, 0), spoilers: newSpoilers()}
	h.gate = &gate{fleet: o.Fleet, permits: o.Permits, withheld: h.Stats.withheld}
	h.engines = &engineCaller{gate: h.gate, pool: o.Pool, wire: o.Wire}
	h.prober = newProber(h.engines, &o)
	h.dead.h = h
	o.Fleet.OnDeath(h.blameContents)
	return h
}

// ResumableRuns returns the streams in flight that another router could resume, and those whose
// callers have just left.
func (h *Handler) ResumableRuns() []ResumableRun { return h.activeRuns.all() }

// CarriesStream reports whether this VM carries a stream now.
func (h *Handler) CarriesStream(id RunID) bool { return h.activeRuns.has(id) }

// ReaderOf returns the VM for which this one serves a stream.
func (h *Handler) ReaderOf(id RunID) (handoff.Reader, bool) { return h.activeRuns.readerOf(id) }

// Paces returns the pace of each service's engines as this VM observed it.
func (h *Handler) Paces() map[string]scheduler.EngineTiming { return h.paces.all() }

// SetVMs sets how many VMs share the retry budgets of the services.
func (h *Handler) SetVMs(n int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.vms = n
	for _, b := range h.budgets {
		b.SetVMs(n)
	}
}

// SetPaces sets the pace of each service's engines as observed by all VMs.
func (h *Handler) SetPaces(paces map[string]scheduler.EngineTiming) { h.paces.setAllVMs(paces) }

// SetCopiesDisabled sets the services for which no copies are made, since all of the
// engines' memory is needed for prompts.
func (h *Handler) SetCopiesDisabled(services []string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.copiesDisabled = services
}

func (h *Handler) isCopyingDisabled(service string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return slices.Contains(h.copiesDisabled, service)
}

// RetryUsage returns this VM's usage of the retry budgets, by service.
func (h *Handler) RetryUsage() map[string]RetryUsage {
	h.mu.Lock()
	defer h.mu.Unlock()
	out := make(map[string]RetryUsage, len(h.budgets))
	for service, b := range h.budgets {
		out[service] = b.OwnUsage()
	}
	return out
}

// SetPeerRetryUsage sets the usage of all other VMs together, by service.
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
		b = NewBudget(h.opts.RetryAllowance, time.Now)
		b.SetVMs(h.vms)
		h.budgets[service] = b
	}
	return b
}

// request is a caller's request in flight.
type request struct {
	Caller
	ctx           context.Context // ends when the caller leaves or the deadline passes
	route         *routes.Route
	service       *routes.Service
	workspace     string
	priority      int
	arrived       time.Time
	readAt        time.Time // when its body was read; zero: it was not
	expires       time.Time
	cutOff        atomic.Bool // this VM ends before the call
	digest        uint64
	outbound      upstream.Request
	history       *SendHistory
	budget        *Budget
	versionChoice rollout.Choice
	// origin is the service and version that began the stream; nil: it has not begun.
	origin        *streamversion.Origin
	held          *heldCalls        // late exchanges of a call; nil: the request is a stream
	trial         *contentTrial     // of the content, if it is suspect; nil: it has none
	deathChecks   []<-chan struct{} // of the servers that broke off an answer; closed once the result is known
	grantRequests int               // that no control VM answered
	withoutGrant  bool              // the servers of this call are chosen by this VM's own view
	// retryAfterSet is set if the refusal of the request came with a retryAfter. There, 0
	// means that a retry is of no use.
	retryAfterSet bool
	retryAfter    time.Duration
	leave         func() // ends the count of the request; nil: it is not counted
	memory        requestMemory
	status        requestStatus
}

// countedBytes returns the size that a request's body is counted with before it is
// read.
func countedBytes(r *http.Request) int { return int(max(0, r.ContentLength)) }

// id returns the request's id; empty: its headers were not read.
func (q *request) id() string {
	if q == nil {
		return ""
	}
	return q.RequestID
}

// contentDigest returns the digest of the request's content; 0: its body was not read.
func (q *request) contentDigest() uint64 {
	if q == nil {
		return 0
	}
	return q.digest
}

func (q *request) isStream() bool { return q.route.Kind == routes.Stream }

// mayHaveRun reports whether a server may have run the request.
func (q *request) mayHaveRun() bool { return q.history.Ran() != result.RanNo }

// left returns the time until the request's deadline.
func (q *request) left() time.Duration { return time.Until(q.expires) }

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	arrived := time.Now()
	rc := http.NewResponseController(w)
	// Only connections of tests do not support deadlines, and they do not need them.
	_ = rc.SetWriteDeadline(arrived.Add(refusalWriteTimeout))
	h.waitForLists(r)
	q, err := h.admit(w, r, arrived)
	if q != nil {
		defer q.release()
	}
	if err != nil {
		h.opts.RoutineLog.Info().Str("request", q.id()).Uint64("digest", q.contentDigest()).Str("path", r.URL.Path).Int("code", int(result.CodeOf(err))).Msg("not admitted")
		if result.CodeOf(err) == result.ShuttingDown {
			h.logRefusedForShutdown(q)
		}
		h.refuse(r.Context(), w, err)
		return
	}
	// A caller that does not read must not hold up the answer beyond its deadline.
	_ = rc.SetWriteDeadline(q.expires.Add(finalWriteTimeout))
	ctx, cancel := context.WithDeadline(r.Context(), q.expires)
	defer cancel()
	q.ctx = ctx
	if endsWithProcess(r) {
		stop := context.AfterFunc(h.opts.Ending, func() {
			if q.status.events.Load() == 0 {
				q.cutOff.Store(true)
				cancel()
			}
		})
		defer stop()
	}
	if h.cannotFinish(q) { // its body may have arrived slowly
		h.logRefusedForShutdown(q)
		h.refuse(ctx, w, result.New(result.ShuttingDown).WithRetryAfter(otherRouterRetryAfter))
		return
	}
	q.readAt = time.Now()
	if h.opts.Closing() {
		q.status.admitted = h.pendingWork(q)
	}
	h.inProgress.add(q)
	defer h.inProgress.remove(q)
	if h.mustHandOff(q) {
		h.handOff(w, q)
		return
	}
	if q.isStream() && q.HasAfter {
		if err := h.reconnect(q); err != nil {
			h.refuse(ctx, w, err)
			return
		}
	}
	h.chooseVersion(q)
	q.budget.CountRequest()
	h.Stats.Requests.Inc()
	defer h.endTrial(q)
	if q.isStream() {
		h.serveStream(w, q)
		return
	}
	h.serveCall(w, q)
}

// endsWithProcess reports whether the caller of a request is told that its outcome is unknown when
// this VM ends, unless it has events: it comes back for the rest then. A VM that handed off a request
// decides by itself whether to repeat it.
func endsWithProcess(r *http.Request) bool { return !handoff.IsRelayed(r.Context()) }

// waitForLists waits for the lists on a router that has just started.
func (h *Handler) waitForLists(r *http.Request) {
	select {
	case <-h.opts.ListsReady:
		return
	default:
	}
	var deadline time.Duration
	if c, err := h.opts.Wire.ReadCaller(r.Header); err == nil {
		deadline = c.Deadline
	}
	t := time.NewTimer(startupWait(deadline))
	defer t.Stop()
	select {
	case <-h.opts.ListsReady:
	case <-t.C:
	case <-h.opts.Ending.Done(): // the refusal must be written before the connection is closed
	case <-r.Context().Done():
	}
}

// admit checks a request and reads its body. A request that it refuses has not run. The
// returned request is nil if it was refused before its headers were read.
func (h *Handler) admit(w http.ResponseWriter, r *http.Request, arrived time.Time) (*request, error) {
	table := h.opts.Routes()
	if table == nil {
		return nil, result.New(result.NoRouteList).WithRetryAfter(noRouteListRetryAfter)
	}
	route := table.Match(r.Host, rawPath(r))
	if route == nil {
		return nil, result.New(result.NoRoute)
	}
	caller, err := h.opts.Wire.ReadCaller(r.Header)
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
	if route.Kind == routes.Stream {
		if err := q.checkReconnect(handoff.IsRelayed(r.Context())); err != nil {
			return q, err
		}
	}
	q.service = table.Service(route.PickRandom())
	q.history = NewSendHistory(route.Repeatable(), route.MaxAttempts)
	if h.cannotFinish(q) {
		return q, result.New(result.ShuttingDown).WithRetryAfter(otherRouterRetryAfter)
	}
	q.budget = h.budget(q.service.Name)
	return q, h.readRequest(w, r, q, bodyLimit(table))
}

// rawPath returns the path as the caller sent it, without the query.
func rawPath(r *http.Request) string {
	path, _, _ := strings.Cut(r.RequestURI, "?")
	return path
}

// readRequest reads the body and checks that its content is not held back.
func (h *Handler) readRequest(w http.ResponseWriter, r *http.Request, q *request, limit int64) error {
	if r.ContentLength > limit {
		w.Header().Set("Connection", "close") // the rest is not read
		return result.New(result.BodyTooLarge)
	}
	var ok bool
	if q.leave, ok = h.inFlight.Enter(0); !ok {
		return errQueueFull()
	}
	q.memory.body = h.opts.Memory.BeginRequest()
	rc := http.NewResponseController(w)
	// Only connections of tests do not support deadlines.
	q.memory.body.GiveWay(func() { _ = rc.SetReadDeadline(time.Unix(1, 0)) })
	if !q.memory.body.Add(countedBytes(r)) {
		return errQueueFull()
	}
	body, err := readBody(w, r, limit, q)
	if err == nil && !headlimit.Serve(r.Context()) {
		err = errQueueFull()
	}
	if err != nil {
		w.Header().Set("Connection", "close")
		return err
	}
	q.outbound = upstream.Request{Method: r.Method, URI: r.RequestURI, Host: r.Host, Header: endToEnd(r.Header), Body: body}
	q.digest = digest(rawPath(r), q.workspace, body)
	if standing, until := h.opts.SuspectContents.Standing(q.digest); standing == recovery.ContentHeld {
		return result.New(result.ContentHeldBack).WithRetryAfter(q.retryAt(until))
	}
	return nil
}

// authorize sets the workspace that owns the caller's key. Without a valid key only public
// routes are allowed, and all are if the route list defines no keys.
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

// Refuse answers a request that is not served with an error of this system itself.
func (h *Handler) Refuse(w http.ResponseWriter, r *http.Request, err error) {
	h.refuse(r.Context(), w, err)
}

// refuse answers with an error of this system itself.
func (h *Handler) refuse(ctx context.Context, w http.ResponseWriter, err error) {
	e := *result.From(err)
	h.Stats.refused(e.Code)
	if e.RetryAfter > 0 {
		w.Header().Set("Retry-After", h.opts.Wire.RetryAfter(e.RetryAfter))
		e.RetryAfter = 0
	}
	if h.closesConnection(ctx) {
		w.Header().Set("Connection", "close")
	}
	resulthttp.Write(w, "", &e)
}

// closesConnection reports whether the connection of a request is closed after its answer. A request that
// came behind it is answered first.
func (h *Handler) closesConnection(ctx context.Context) bool {
	return h.opts.Closing() && !headlimit.HasNext(ctx)
}

// giveUp gives the final answer to an admitted request that could not be served.
func (h *Handler) giveUp(w http.ResponseWriter, q *request, code result.Code) {
	reason := result.Lookup(code).Name
	code = q.history.FinalCode(code)
	e := result.New(code).WithRan(q.history.Ran())
	if after := q.retryDelay(); result.Lookup(code).Ran == result.RanNo && after > 0 {
		e = e.WithRetryAfter(after)
	}
	e.RequestID = q.RequestID
	h.opts.Log.Info().Str("request", q.RequestID).Str("route", q.route.Name).Int("code", int(code)).Str("reason", reason).
		Int("sends", q.history.arrivals).Dur("held", time.Since(q.arrived)).Msg("gave up")
	if code == result.ShuttingDown {
		h.logRefusedForShutdown(q)
	}
	h.refuse(q.ctx, w, e)
}
