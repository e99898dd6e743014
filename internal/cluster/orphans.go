package cluster

import (
	"context"
	"errors"
	"iter"
	"slices"
	"time"

	"github.com/amaranthshelf/amaranthshelf/internal/codec"
	"github.com/amaranthshelf/amaranthshelf/internal/forward"
	"github.com/amaranthshelf/amaranthshelf/internal/peer"
)

// A run that a router reports is an orphan once that router is gone. Heartbeats show this after
// a second, when the callers of a killed router have long come to others. The router itself is
// asked instead: it answers within milliseconds, or its VM refuses the connection.

const (
	// findRunTimeout bounds the lookup of a stream. Without a copy the prompt is prefilled
	// again, which costs about a second.
	findRunTimeout = 100 * time.Millisecond
	// carriesStreamTimeout bounds the wait for the router that reported a stream. One that is
	// cut off or paused does not answer, and its caller has left it.
	carriesStreamTimeout = 50 * time.Millisecond
	// readerTimeout bounds the wait for the VM for which the router serves the stream.
	readerTimeout = 30 * time.Millisecond
)

// foundRun is the reply to the lookup of a stream.
type foundRun struct {
	Found       bool  `cbor:"8,keyasint,omitempty"`
	RouterHeard bool  `cbor:"9,keyasint,omitempty"` // the router may still carry the stream
	AgeMS       int64 `cbor:"10,keyasint,omitempty"`
	forward.ReportedRun
}

// serveFindRun replies with what is known of a stream that another VM carried.
func (h *Hub) serveFindRun(_ context.Context, _ string, body []byte) (any, error) {
	var wanted forward.RunID
	if err := codec.Unmarshal(body, &wanted); err != nil {
		return nil, err
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	run, ok := forward.FindReported(h.knownRuns(time.Now()), wanted)
	return foundRun{Found: ok, RouterHeard: run.Age <= presenceTimeout, AgeMS: run.Age.Milliseconds(), ReportedRun: run}, nil
}

// knownRuns returns allRuns and the runs that were reported to the former process of this VM only.
// It needs h.mu while it is read.
func (h *Hub) knownRuns(now time.Time) iter.Seq[forward.ReportedRun] {
	return func(yield func(forward.ReportedRun) bool) {
		for run := range h.allRuns(now) {
			if !yield(run) {
				return
			}
		}
		for run := range h.unexpiredSavedRuns(now) {
			if !yield(run) {
				return
			}
		}
	}
}

// runReport is what a router process reported last.
type runReport struct {
	router string
	runs   []forward.ResumableRun
	at     time.Time
}

// keepFormerRuns keeps the runs of a router whose process has started again: its first heartbeat
// replaces the last one, while callers whose connections hang come back later. It needs h.mu.
func (h *Hub) keepFormerRuns(v *vmState, now time.Time) {
	before, known := h.vms[v.vm]
	if known && before.heartbeat.Spent.Incarnation != v.heartbeat.Spent.Incarnation && len(before.heartbeat.Runs) > 0 {
		h.formerRuns = append(h.formerRuns, runReport{v.vm, before.heartbeat.Runs, before.at})
	}
	h.formerRuns = slices.DeleteFunc(h.formerRuns, func(f runReport) bool { return now.Sub(f.at) > forgetAfter })
}

// allRuns returns the stream runs of all VMs as last reported. It needs h.mu while it is read.
func (h *Hub) allRuns(now time.Time) iter.Seq[forward.ReportedRun] {
	return func(yield func(forward.ReportedRun) bool) {
		for vm, s := range h.vms {
			if !yieldRuns(yield, runReport{vm, s.heartbeat.Runs, s.at}, now) {
				return
			}
		}
		for _, f := range h.formerRuns {
			if now.Sub(f.at) <= forgetAfter && !yieldRuns(yield, f, now) {
				return
			}
		}
	}
}

// yieldRuns yields the runs of a report, without their copies if those have expired.
func yieldRuns(yield func(forward.ReportedRun) bool, f runReport, now time.Time) bool {
	age := now.Sub(f.at)
	for _, run := range f.runs {
		if age > copyLifetime {
			run.Copy = forward.Copy{}
		}
		if !yield(forward.ReportedRun{ResumableRun: run, Router: f.router, Age: age}) {
			return false
		}
	}
	return true
}

// unexpiredSavedRuns returns the saved runs that may still be of use. Their routers may be alive.
// It needs h.mu while it is read.
func (h *Hub) unexpiredSavedRuns(now time.Time) iter.Seq[forward.ReportedRun] {
	return func(yield func(forward.ReportedRun) bool) {
		if now.After(h.savedRunsExpireAt) {
			return
		}
		for _, run := range h.savedRuns {
			run.Age = presenceTimeout // older than what a live router reports
			if now.After(h.copiesExpireAt) {
				run.Copy = forward.Copy{}
			}
			if !yield(run) {
				return
			}
		}
	}
}

// FindOrphan asks a control VM what is known of a stream that another VM carried. It returns
// false if neither a copy nor an engine is, or if there is no reply.
//
// The copy and the id are left out of a stream that its router still carries: the router needs the
// copy if its own engine is lost. They are also left out if the caller does not name its stream and
// more than one with its content may have begun: reports and saved runs may lack the one that it
// means.
func (m *Member) FindOrphan(ctx context.Context, wanted forward.RunID) (forward.ReportedRun, bool) {
	ctx, cancel := context.WithTimeout(ctx, findRunTimeout)
	defer cancel()
	unmistakable := make(chan bool, 1)
	go func() { unmistakable <- wanted.Stream != 0 || m.isOnlyStream(ctx, wanted.RecordedContent()) }()
	var reply foundRun
	if err := m.t.Call(ctx, m.freshestControl(), peer.KindFindRun, wanted, &reply); err != nil {
		m.log.Debug().Err(err).Msg("lookup of an orphaned run failed; its prompt may be computed again")
		return forward.ReportedRun{}, false
	}
	if !reply.Found {
		return forward.ReportedRun{}, false
	}
	run := reply.ReportedRun
	run.Age = time.Duration(reply.AgeMS) * time.Millisecond
	reason := ""
	switch {
	case !<-unmistakable:
		reason = "caller names no stream, and there may be several with its content; copy not taken"
	case reply.RouterHeard && m.carriesStream(ctx, run.Router, run.RunID):
		reason = "copy is still used by its router; not taken"
	}
	if reason != "" {
		m.log.Info().Str("router", run.Router).Str("copy", run.Copy.ID).Str("copy_at", run.Copy.Address).Msg(reason)
		run.Copy, run.RunID = forward.Copy{}, forward.RunID{} // the caller may mean another stream
	}
	return run, run.Orphan != (forward.Orphan{})
}

// isOnlyStream reports whether one stream with a content has begun, of all that may still be
// asked for. It is false if too few holders of the records answer.
func (m *Member) isOnlyStream(ctx context.Context, content uint32) bool {
	vms := holdersOf(placeOfContent(content), m.Controls())
	type answer struct {
		streams int
		err     error
	}
	answers := make(chan answer, len(vms))
	for _, vm := range vms {
		go func() {
			var a answer
			a.err = m.t.Call(ctx, vm, peer.KindCountStreams, content, &a.streams)
			answers <- a
		}()
	}
	answered, most := 0, 0
	for range vms {
		if a := <-answers; a.err == nil {
			answered++
			most = max(most, a.streams)
		}
		if answered == recordQuorum || most > 1 {
			break
		}
	}
	return most == 1 && answered >= min(recordQuorum, len(vms))
}

// carriesStream asks a router whether it still carries a stream. One that does not answer does
// not, unless it is of a release that does not know the question.
func (m *Member) carriesStream(ctx context.Context, router string, id forward.RunID) bool {
	ctx, cancel := context.WithTimeout(ctx, carriesStreamTimeout)
	defer cancel()
	var carries bool
	err := m.t.Call(ctx, router, peer.KindCarriesStream, id, &carries)
	if err == nil {
		return carries
	}
	m.log.Debug().Err(err).Str("router", router).Msg("router of an orphaned run does not answer")
	var remote *peer.RemoteError
	return errors.As(err, &remote)
}

func (m *Member) serveCarriesStream(ctx context.Context, _ string, body []byte) (any, error) {
	var id forward.RunID
	if err := codec.Unmarshal(body, &id); err != nil {
		return nil, err
	}
	if m.local.CarriesStream == nil || !m.local.CarriesStream(id) {
		return false, nil
	}
	return !m.endIfUnread(ctx, id), nil
}

// endIfUnread ends a stream that this VM serves for one that is gone, and reports whether it did. The
// caller of that VM has come to another one, which sends the request elsewhere, while this VM would
// keep it until its lease ends.
func (m *Member) endIfUnread(ctx context.Context, id forward.RunID) bool {
	if m.local.ReaderOf == nil {
		return false
	}
	reader, isServed := m.local.ReaderOf(id)
	if !isServed {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, readerTimeout)
	defer cancel()
	err := m.t.Call(ctx, reader.VM, peer.KindCarriesStream, id, nil)
	var remote *peer.RemoteError
	if err == nil || errors.As(err, &remote) {
		return false
	}
	m.log.Info().Err(err).Str("from", reader.VM).Msg("the VM for which a stream is served is gone; its caller is at another one")
	reader.End()
	return true
}
