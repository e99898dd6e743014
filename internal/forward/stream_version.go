package forward

import (
	"context"
	"fmt"
	"time"

	"github.com/rs/zerolog"

	"github.com/amaranthshelf/amaranthshelf/internal/result"
	"github.com/amaranthshelf/amaranthshelf/internal/rollout"
	"github.com/amaranthshelf/amaranthshelf/internal/streamversion"
)

// Origins keeps the records of which version began each stream, on behalf of all VMs.
type Origins interface {
	// Record sends a record to other VMs.
	Record(r streamversion.Record) RecordWait
	// Find asks the VMs that may hold the record of a stream. all is set if every one of them
	// answered.
	Find(ctx context.Context, k streamversion.Key) (o streamversion.Origin, f streamversion.Finding, all bool)
}

// RecordWait follows a record on its way to other VMs.
type RecordWait struct {
	// Held is closed once enough VMs have the record on their disks, or no more is to be waited
	// for.
	Held <-chan struct{}
	// DiskIsSlow is closed once a VM that has the record waits for its disk; nil: never.
	DiskIsSlow <-chan struct{}
}

// localOrigins is the Origins of a VM without others.
type localOrigins struct{}

func (localOrigins) Record(streamversion.Record) RecordWait {
	done := make(chan struct{})
	close(done)
	return RecordWait{Held: done}
}

func (localOrigins) Find(context.Context, streamversion.Key) (streamversion.Origin, streamversion.Finding, bool) {
	return streamversion.Origin{}, streamversion.Unknown, true
}

const (
	// recordPatience bounds how long a first event waits for the record of its stream. A stream
	// without one cannot be resumed at another VM while several versions serve.
	recordPatience = 200 * time.Millisecond
	// slowDiskPatience bounds it while the disks of control VMs are slow. A stream whose record is
	// on no disk cannot be resumed after all processes were killed.
	slowDiskPatience = 1500 * time.Millisecond
	// findOriginTimeout bounds the search for a record, and findServiceTimeout that for a record
	// of which only the service may be new.
	findOriginTimeout  = 400 * time.Millisecond
	findServiceTimeout = 100 * time.Millisecond
	// minVersionWait is the least time for which a stream waits for room at its version, and
	// versionFullRetryAfter the Retry-After when it has not found any.
	minVersionWait        = 2 * time.Second
	versionFullRetryAfter = 500 * time.Millisecond
	// originRetryAfter is the Retry-After of a request whose record may be at a VM that did not
	// answer.
	originRetryAfter = time.Second
	// oldListAge is the age from which the list of backend servers does not show that a version is
	// gone: its servers may have joined since. A control VM reads the list every 2 s at least.
	oldListAge = 2 * time.Second
	// recordMargin is added to the time for which callers come back for a stream.
	recordMargin = 10 * time.Second
	// minRecordTTL and maxRecordTTL bound the life of a record.
	minRecordTTL = 30 * time.Second
	maxRecordTTL = 15 * time.Minute
)

// newOriginTable returns the records of the streams that this VM carried.
func newOriginTable() *streamversion.Store { return streamversion.NewStore(nil, "", zerolog.Nop()) }

// streamKey returns the key under which a stream is recorded; false: its caller names no attempt
// that can be recorded.
func (q *request) streamKey() (streamversion.Key, bool) {
	attempt := q.RequestID
	if q.HasAfter {
		attempt = q.FirstAttempt
	}
	if attempt == "" || len(attempt) > streamversion.MaxAttemptBytes {
		return streamversion.Key{}, false
	}
	return streamversion.KeyOf(q.workspace, attempt), true
}

// recordTTL returns how long callers may come back for the stream.
func (q *request) recordTTL() time.Duration {
	return min(max(q.Deadline+recordMargin, q.route.Timeout+recordMargin, minRecordTTL), maxRecordTTL)
}

// checkReconnect rejects a request that names the stream to which it reconnects in a way that no
// caller of a stream does. Another VM that goes on with a stream hands off the attempt that began it.
func (q *request) checkReconnect(relayed bool) error {
	fault := q.ReconnectFault
	switch {
	case fault != "":
	case q.FirstAttempt == "":
		return nil
	case !q.HasAfter:
		fault = "it names the attempt that began a stream, but no last event"
	case q.FirstAttempt == q.RequestID && !relayed:
		fault = "it names itself as the attempt that began the stream"
	case len(q.FirstAttempt) > streamversion.MaxAttemptBytes:
		fault = fmt.Sprintf("the id of the attempt that began the stream has %d bytes; allowed: %d", len(q.FirstAttempt), streamversion.MaxAttemptBytes)
	default:
		return nil
	}
	return result.Newf(result.InvalidReconnect, "%s", fault)
}

// originSource is where the version of a stream was learned.
type originSource string

const (
	originHere        originSource = "this VM"
	originElsewhere   originSource = "records of the control VMs"
	originOnlyVersion originSource = "only version"
)

// reconnect finds the version that began the stream to which a caller reconnects, and restricts the
// request to it. Without a record, a version is certain only if it alone can have begun any
// stream that is still of interest.
func (h *Handler) reconnect(q *request) error {
	began := time.Now()
	origin, source, err := h.findOrigin(q)
	if err == nil {
		err = h.fixOrigin(q, origin)
	}
	outcome, code, log, message := string(source), result.Code(0), h.opts.RoutineLog, "caller reconnects to a stream"
	if err != nil {
		code, log, message = result.CodeOf(err), h.opts.Log, "reconnect refused"
		outcome = "refused: " + result.Lookup(code).Name
	}
	h.Stats.reconnected(outcome)
	log.Info().Str("request", q.RequestID).Str("first_attempt", q.FirstAttempt).Str("workspace", q.workspace).Uint64("after", q.After).
		Str("service", origin.Service).Str("version", origin.Version).Str("learned_from", string(source)).Int("code", int(code)).AnErr("reason", err).
		Dur("took", time.Since(began)).Dur("list_age", time.Since(h.opts.Fleet.AsOf())).Msg(message)
	return err
}

func (h *Handler) findOrigin(q *request) (streamversion.Origin, originSource, error) {
	key, named := q.streamKey()
	if named {
		if o, finding, err := h.origins.Find(key); err == nil && finding != streamversion.Unknown {
			return o, originHere, ambiguity(finding)
		}
	}
	only, certain := h.onlyOrigin(q)
	all := true
	if named {
		o, finding, complete := h.findRecord(q, key, certain)
		if finding != streamversion.Unknown {
			return o, originElsewhere, ambiguity(finding)
		}
		all = complete
	}
	if certain {
		return only, originOnlyVersion, nil
	}
	err := result.New(result.StreamVersionUnknown)
	switch {
	case !all:
		err = err.WithRetryAfter(originRetryAfter)
	case !h.opts.VersionsFresh():
		err = err.WithRetryAfter(otherRouterRetryAfter)
	}
	return streamversion.Origin{}, "", err
}

// findRecord asks the control VMs for the record of a stream. If the version is certain without it,
// only the service is in doubt, and the search is short.
func (h *Handler) findRecord(q *request, key streamversion.Key, certain bool) (streamversion.Origin, streamversion.Finding, bool) {
	timeout := findOriginTimeout
	if certain {
		timeout = findServiceTimeout
	}
	ctx, cancel := context.WithTimeout(q.ctx, timeout)
	defer cancel()
	return h.opts.Origins.Find(ctx, key)
}

// ambiguity returns the error for an attempt that is recorded with several versions.
func ambiguity(f streamversion.Finding) error {
	if f == streamversion.Ambiguous {
		return result.Newf(result.StreamVersionUnknown, "the attempt began several streams, at different versions")
	}
	return nil
}

// onlyOrigin returns the origin of a stream if all streams that its route may have begun have
// the same version, service by service. The caller's service is the one that was chosen for it.
func (h *Handler) onlyOrigin(q *request) (streamversion.Origin, bool) {
	// The copy must have been in force at some moment after the stream began. It may catch up between
	// two statements, and is therefore read last.
	if !h.opts.VersionsFresh() {
		return streamversion.Origin{}, false
	}
	state := h.opts.Rollouts.State()
	for _, t := range q.route.Targets {
		if _, only := state.OnlyVersion(t.Service); !only {
			return streamversion.Origin{}, false
		}
	}
	version, only := state.OnlyVersion(q.service.Name)
	return streamversion.Origin{Service: q.service.Name, Version: version}, only
}

// fixOrigin restricts a request to the service and version that began its stream.
func (h *Handler) fixOrigin(q *request, o streamversion.Origin) error {
	if o.Service != q.service.Name {
		table := h.opts.Routes()
		if table == nil || !q.route.LeadsTo(o.Service) || table.Service(o.Service) == nil {
			return result.Newf(result.StreamVersionGone, "the route leads no more to service %q, which began the stream", o.Service)
		}
		q.service = table.Service(o.Service)
		q.budget = h.budget(o.Service)
	}
	q.origin = &o
	q.versionChoice = rollout.Choice{Versions: rollout.FixedVersion(o.Version)}
	if h.originRemains(q) {
		return nil
	}
	if age := time.Since(h.opts.Fleet.AsOf()); age > oldListAge && !h.opts.Fleet.HasVersion(q.service.Name, o.Version) {
		return result.Newf(result.StreamVersionGone, "no backend server of the version that began the stream is on the list here, which is %v old", age.Round(time.Second)).
			WithRetryAfter(originRetryAfter)
	}
	return result.New(result.StreamVersionGone)
}

// originRemains reports whether servers of the version that began the stream are listed and may
// go on with it.
func (h *Handler) originRemains(q *request) bool {
	return h.opts.Fleet.HasVersion(q.service.Name, q.origin.Version) && h.opts.Rollouts.State().MayContinue(q.service.Name, q.origin.Version)
}

// fixVersion restricts the stream to the version of its first event, which has just arrived. It
// returns false if another version began the stream.
func (r *run) fixVersion() bool {
	st, q := r.st, r.st.q
	if r.engineStartedAgain() {
		return false
	}
	if q.origin == nil {
		r.beganStream = true
		q.origin = &streamversion.Origin{Service: r.server.Service, Version: r.server.Version}
		q.versionChoice.Versions = rollout.FixedVersion(r.server.Version)
	}
	if q.origin.Version != r.server.Version {
		st.h.opts.Log.Error().Str("request", q.RequestID).Str("engine", r.server.ID).Str("version", r.server.Version).Str("began_at", q.origin.Version).
			Msg("an engine of another version would go on with the stream; its events are dropped")
		return false
	}
	return true
}

// recordVersion records the version of the stream. Its first event must not be sent before. The
// wait for other VMs may be long, so that no other run of the stream may be open.
func (r *run) recordVersion() {
	st, q := r.st, r.st.q
	key, named := q.streamKey()
	if !named {
		return
	}
	record := streamversion.Record{Key: key, Origin: *q.origin, TTL: q.recordTTL(), Content: st.id.RecordedContent()}
	st.h.origins.Put([]streamversion.Record{record})
	wait := st.h.opts.Origins.Record(record)
	if r.beganStream && st.hasSeveralVersions() {
		st.awaitRecord(wait)
	}
}

// checkStart begins to ask the engine when it started, if an error in the version that the list
// names would join the events of two versions. An engine that starts again under its id may have
// another version, and the list shows it seconds later. The connection of the run must be open:
// if the engine starts again after that, the connection breaks.
func (r *run) checkStart() {
	if r.server.BornMS == 0 || !r.st.seq.started && !r.st.hasSeveralVersions() {
		return
	}
	r.st.h.Stats.Probes.Inc()
	r.startCheck = r.st.h.prober.start(r.server)
}

// hasSeveralVersions reports whether streams of the service may begin at different versions.
func (st *streamRelay) hasSeveralVersions() bool {
	return st.h.opts.Rollouts.State().HasSeveralVersions(st.q.service.Name)
}

// engineStartedAgain reports whether the engine has started again since the list was made, so that
// its version is not known. An engine that does not tell counts as listed.
func (r *run) engineStartedAgain() bool {
	if r.startCheck == nil {
		return false
	}
	select {
	case <-r.startCheck.done:
	case <-r.st.q.ctx.Done():
		return false
	}
	if !r.startCheck.startedAgain {
		return r.startCheck.replaced
	}
	if r.st.hasSeveralVersions() {
		r.st.h.opts.Fleet.MarkRestarted(r.server)
	}
	r.st.h.opts.Log.Warn().Str("request", r.st.q.RequestID).Str("engine", r.server.ID).Str("listed_version", r.server.Version).Int64("listed_start_ms", r.server.BornMS).
		Int64("start_ms", r.startCheck.report.BornMS).Msg("engine has started again, and its version is not known; its events are dropped")
	return true
}

// awaitRecord waits until enough other VMs hold the record of the stream. It waits longer for a slow
// disk, but not so long that the first event would come late for that.
func (st *streamRelay) awaitRecord(wait RecordWait) {
	began, slow := time.Now(), false
	defer observe(st.h.Stats.RecordWait, began)
	until := min(slowDiskPatience, time.Until(st.q.dueTime())/2)
	patience := time.NewTimer(recordPatience)
	defer patience.Stop()
	for {
		select {
		case <-wait.Held:
			return
		case <-st.q.ctx.Done():
			return
		case <-patience.C:
		}
		if slow || !isClosed(wait.DiskIsSlow) || until <= recordPatience {
			break
		}
		slow = true
		patience.Reset(until - recordPatience)
	}
	st.h.Stats.RecordsLate.Inc()
	st.h.opts.Log.Warn().Str("request", st.q.RequestID).Bool("disk_is_slow", slow).Msg("version of the stream is not recorded in time; until it is, the stream can be resumed only here")
}

// isClosed reports whether a channel on which nothing is sent is closed; nil is not.
func isClosed(ch <-chan struct{}) bool {
	select {
	case <-ch:
		return true
	default:
		return false
	}
}

// waitedForVersion reports whether the stream has waited so long for room at its version that its
// caller is told. While there are others, the room is needed by streams that have waited less.
func (st *streamRelay) waitedForVersion() bool {
	if st.q.origin == nil || !st.hasSeveralVersions() {
		return false
	}
	since := st.q.arrived
	if st.headSent {
		since = st.lastEventAt
	}
	return time.Since(since) > max(minVersionWait, st.q.route.Objective)
}

// versionGone reports whether the stream has begun at a version that cannot go on with it.
func (st *streamRelay) versionGone() bool { return st.q.origin != nil && !st.h.originRemains(st.q) }

// allowsEngine reports whether an engine may run the stream now.
func (st *streamRelay) allowsEngine(version string) bool {
	return st.h.opts.Fleet.AllowsVersion(st.q.service.Name, st.q.versionChoice.Versions, version)
}
