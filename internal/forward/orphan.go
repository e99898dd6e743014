package forward

import (
	"iter"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/amaranthshelf/amaranthshelf/internal/handoff"
	"github.com/amaranthshelf/amaranthshelf/internal/streamversion"
)

// The failure pattern is the death of one or several routers with the streams that they
// carry. Within milliseconds the callers come to other routers and ask for the events
// after their last one. The copies of those runs still exist, but only the dead router
// knew of them. Without that knowledge each prompt is prefilled again, for a second or
// more, although the engines are no busier than before.
//
// Routers therefore report where the copies of their streams are. A router that is asked
// for the rest of a stream that it does not know looks the stream up there first.
//
// Two requests may have the same content and run at the same time. Their answers differ, and
// neither may go on from the memory of the other. A stream is therefore looked up by the attempt
// that began it. A caller that names no attempt is given a copy only if no other request with
// its content is known.
//
// A copy is kept for some seconds. If a VM loses power, its callers' connections hang,
// and the callers give them up many seconds later, all at once. The engines that
// prefilled their prompts mostly still hold these as cached prefixes then. A stream that
// is sent there is resumed without another prefill.

const (
	// endedRunTTL is how long a run is reported after its caller left before its end. Callers
	// come back for their streams until their deadlines.
	endedRunTTL = 30 * time.Second
	// maxEndedRuns bounds the ended runs that are reported, for a VM that loses all its callers.
	maxEndedRuns = 1000
)

// ResumableRun is a stream and what another router needs to resume it.
type ResumableRun struct {
	RunID
	Orphan
	// Ended is set if the caller left before the end of the stream.
	Ended bool `cbor:"6,keyasint,omitempty"`
}

// RunID identifies a stream and the content of its request.
type RunID struct {
	Content uint64 `cbor:"1,keyasint"`           // hash that requests with equal content share
	Stream  uint64 `cbor:"5,keyasint,omitempty"` // hash of the attempt that began it and of Content; 0: not known
}

// RecordedContent returns the hash of the content in the records of streams that have begun.
func (id RunID) RecordedContent() uint32 { return max(1, uint32(id.Content)) }

// Orphan is what remains of a run when its router is gone.
type Orphan struct {
	Copy          Copy   `cbor:"2,keyasint"`           // of the run's memory; empty: none
	PrefillEngine string `cbor:"3,keyasint,omitempty"` // address of the engine that prefilled the prompt
}

// ReportedRun is a run as its router last reported it.
type ReportedRun struct {
	ResumableRun
	Router string        `cbor:"7,keyasint,omitempty"` // empty: not known
	Age    time.Duration `cbor:"-"`                    // of the report
}

// FindReported returns what is known of the stream that a caller asks for. If the caller does not
// name its stream, requests with equal content cannot be distinguished, and none of several is
// returned.
func FindReported(runs iter.Seq[ReportedRun], wanted RunID) (found ReportedRun, ok bool) {
	for run := range runs {
		switch {
		case run.Content != wanted.Content || wanted.Stream != 0 && run.Stream != wanted.Stream:
		case ok && (run.Stream != found.Stream || run.Stream == 0):
			return ReportedRun{}, false
		case !ok || run.supersedes(&found):
			found, ok = run, true
		}
	}
	return found, ok
}

// supersedes reports whether a run tells more of its stream than another run of it. The last router
// that carried the stream knows its copy.
func (r *ReportedRun) supersedes(other *ReportedRun) bool {
	if r.Ended != other.Ended {
		return other.Ended
	}
	return r.Age < other.Age
}

// runRegistry holds the runs that a router reports to the others. It is safe for
// concurrent use.
type runRegistry struct {
	mu    sync.Mutex
	runs  map[string]activeRun // in flight, by request id
	ended []endedRun           // in the order of their ends
}

type activeRun struct {
	ResumableRun
	isServed bool           // for another VM
	reader   handoff.Reader // valid if isServed is set
}

type endedRun struct {
	id RunID
	at time.Time
}

func (r *runRegistry) put(id string, run activeRun) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.runs == nil {
		r.runs = map[string]activeRun{}
	}
	r.runs[id] = run
}

// drop removes a run. comesBack is set if its caller may ask for the rest of the stream.
func (r *runRegistry) drop(id string, comesBack bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	run, known := r.runs[id]
	delete(r.runs, id)
	if !known || !comesBack {
		return
	}
	r.ended = append(r.ended, endedRun{run.RunID, time.Now()})
	r.ended = r.ended[max(0, len(r.ended)-maxEndedRuns):]
}

func (r *runRegistry) all() []ResumableRun {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ended = slices.DeleteFunc(r.ended, func(e endedRun) bool { return time.Since(e.at) > endedRunTTL })
	out := make([]ResumableRun, 0, len(r.runs)+len(r.ended))
	for _, run := range r.runs {
		out = append(out, run.ResumableRun)
	}
	for _, e := range r.ended {
		out = append(out, ResumableRun{RunID: e.id, Ended: true})
	}
	return out
}

// has reports whether a stream is in flight.
func (r *runRegistry) has(id RunID) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, run := range r.runs {
		if run.RunID == id {
			return true
		}
	}
	return false
}

// readerOf returns the VM for which this one serves a stream.
func (r *runRegistry) readerOf(id RunID) (handoff.Reader, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, run := range r.runs {
		if run.RunID == id && run.isServed {
			return run.reader, true
		}
	}
	return handoff.Reader{}, false
}

// contentHash returns a hash of everything but the headers that differ between the attempts of
// a request.
func (q *request) contentHash(perAttempt []string) uint64 {
	d := xxhash.New()
	_, _ = d.WriteString(q.outbound.Method + " " + q.outbound.URI + "\x00" + q.workspace + "\x00")
	names := make([]string, 0, len(q.outbound.Header))
	for name := range q.outbound.Header {
		if !slices.Contains(perAttempt, name) {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	for _, name := range names {
		for _, v := range q.outbound.Header[name] {
			_, _ = d.WriteString(name + ":" + v + "\x00")
		}
	}
	_, _ = d.Write(q.outbound.Body)
	return d.Sum64()
}

// runID returns the id of the stream that a request begins or takes up. The content is part of
// RunID.Stream, since a caller may name the attempt of another request by mistake.
func (q *request) runID(perAttempt []string) RunID {
	id := RunID{Content: q.contentHash(perAttempt)}
	if key, named := q.streamKey(); named {
		id.Stream = id.streamOf(key)
	}
	return id
}

// streamOf returns the hash of a stream with this content.
func (id RunID) streamOf(key streamversion.Key) uint64 {
	d := xxhash.NewWithSeed(id.Content)
	_, _ = d.Write(key[:])
	return max(1, d.Sum64())
}

// reportRun makes a run known to other routers.
func (r *run) reportRun() {
	out := activeRun{ResumableRun: r.resumable()}
	out.reader, out.isServed = handoff.ReaderOf(r.st.q.ctx)
	r.st.h.activeRuns.put(r.st.q.RequestID, out)
}

// findOrphan looks for the copy of a stream if its caller asks for the rest of it. A stream whose
// caller does not name it goes on under the name of the one that was found.
func (st *streamRelay) findOrphan() {
	q := st.q
	if !q.HasAfter || !q.history.repeatable {
		return
	}
	found, ok := ReportedRun{}, false
	if st.h.opts.FindOrphan != nil {
		began := time.Now()
		found, ok = st.h.opts.FindOrphan(q.ctx, st.id)
		st.h.opts.RoutineLog.Info().Str("request", q.RequestID).Str("first_attempt", q.FirstAttempt).Uint64("after", q.After).
			Str("copy", found.Copy.ID).Str("copy_at", found.Copy.Address).Str("prefilled_by", found.PrefillEngine).Str("router", found.Router).
			Dur("report_age", found.Age).Dur("took", time.Since(began)).Msg("run of the stream looked up")
	}
	if st.id.Stream == 0 {
		st.id.Stream = found.Stream
	}
	if st.id.Stream == 0 {
		st.id.Stream = st.id.streamOf(streamversion.KeyOf(q.workspace, q.RequestID))
	}
	if !ok {
		return
	}
	st.orphanEngine = found.PrefillEngine
	if found.Copy.Address != "" {
		st.orphanCopy = &found.Copy
	}
}
