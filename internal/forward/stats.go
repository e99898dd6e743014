package forward

import (
	"fmt"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/amaranthshelf/amaranthshelf/internal/backpressure"
	"github.com/amaranthshelf/amaranthshelf/internal/result"
)

// Stats are the metrics of a Handler. Their number is bounded: the names are fixed, and the
// labels are result codes and their names, and the services and versions that are in use.
type Stats struct {
	set *metrics.Set

	Requests        *metrics.Counter
	Retries         *metrics.Counter // sends that drew on the retry budget
	Resumes         *metrics.Counter // streams that were resumed at another engine
	ResumesFromCopy *metrics.Counter // of these, from a backup copy
	Probes          *metrics.Counter
	CopiesOrdered   *metrics.Counter // backup copies made on order
	StrayAnswers    *metrics.Counter // answers to other requests, dropped
	SpoiledAnswers  *metrics.Counter // answers that brought more than an answer may have, or no progress
	BrokenStreams   *metrics.Counter // streams that were broken off
	RunsHeld        *metrics.Counter // runs that were kept open while their engine was silent
	HeldRunsGoOn    *metrics.Counter // of these, those with which the stream went on
	CallersGone     *metrics.Counter
	// ShutdownRefusals counts the requests that were refused since this VM shuts down.
	ShutdownRefusals *metrics.Counter
	ShutdownCutOffs  *metrics.Counter // requests that the end of the process cut off
	HandOffs         *metrics.Counter // requests offered to other VMs, since this one reaches no server of their service
	// CallGrantFallbacks counts the calls for which no control VM granted a usable server, and
	// about which this VM decided by itself.
	CallGrantFallbacks *metrics.Counter
	// EngineSpeeds counts the observations of engines that were reported.
	EngineSpeeds   *metrics.Counter
	RefusedByLevel *metrics.Counter // streams that the refusal level refused
	RecordsLate    *metrics.Counter // streams whose first event was sent before their version was recorded
	TrialWaits     *metrics.Counter // waits for a trial of a suspect content

	FirstEvent  *metrics.Histogram // seconds from a caller's request
	ResumePause *metrics.Histogram // seconds without an event for the caller of a resumed stream
	RunOverlap  *metrics.Histogram // seconds for which two runs of a stream were open at two engines
	CallTime    *metrics.Histogram // seconds from a caller's request to the answer
	StreamWait  *metrics.Histogram // seconds that a stream waited for an engine
	RecordWait  *metrics.Histogram // seconds that a first event waited for the record of its version
}

// NewStats returns Stats whose metrics are registered in set.
func NewStats(set *metrics.Set) *Stats {
	counter := func(name string) *metrics.Counter { return set.NewCounter("shelf_" + name + "_total") }
	return &Stats{
		set: set, Requests: counter("requests"), Retries: counter("repeats"), Resumes: counter("resumes"),
		ResumesFromCopy: counter("resumes_from_copy"), Probes: counter("probes"), CopiesOrdered: counter("copies_ordered"),
		StrayAnswers: counter("stray_answers"), SpoiledAnswers: counter("spoiled_answers"), BrokenStreams: counter("streams_broken"),
		RunsHeld: counter("runs_held"), HeldRunsGoOn: counter("held_runs_go_on"), CallersGone: counter("callers_gone"),
		ShutdownRefusals: counter("shutdown_refusals"), ShutdownCutOffs: counter("shutdown_cut_offs"),
		CallGrantFallbacks: counter("calls_grant_fallback"), EngineSpeeds: counter("engine_speeds_reported"),
		RefusedByLevel: counter("streams_refused_by_level"), HandOffs: counter("hand_offs"), RecordsLate: counter("stream_records_late"), TrialWaits: counter("content_trial_waits"), RecordWait: set.NewHistogram("shelf_stream_record_wait_seconds"),
		FirstEvent: set.NewHistogram("shelf_first_event_seconds"), ResumePause: set.NewHistogram("shelf_resume_pause_seconds"),
		RunOverlap: set.NewHistogram("shelf_run_overlap_seconds"),
		CallTime:   set.NewHistogram("shelf_call_seconds"), StreamWait: set.NewHistogram("shelf_stream_wait_seconds"),
	}
}

// withheld counts a send that a server does not accept now, by the reason.
func (s *Stats) withheld(v backpressure.Verdict) {
	s.set.GetOrCreateCounter(fmt.Sprintf(`shelf_sends_withheld_total{reason=%q}`, v)).Inc()
}

// refused counts an error of this system itself by its code.
func (s *Stats) refused(code result.Code) {
	s.set.GetOrCreateCounter(fmt.Sprintf(`shelf_refused_total{code="%d",name=%q}`, code, result.Lookup(code).Name)).Inc()
	if code == result.ShuttingDown {
		s.ShutdownRefusals.Inc()
	}
}

// reconnected counts a request for the rest of a stream, by where its version was learned or why it
// was refused.
func (s *Stats) reconnected(outcome string) {
	s.set.GetOrCreateCounter(fmt.Sprintf(`shelf_stream_reconnects_total{outcome=%q}`, outcome)).Inc()
}

// firstEventFrom counts the first event of a run, by the version of its server. goesOn is set if
// the caller has earlier events of the stream.
func (s *Stats) firstEventFrom(service, version string, goesOn bool) {
	s.set.GetOrCreateCounter(fmt.Sprintf(`shelf_runs_with_events_total{service=%q,version=%q,goes_on="%t"}`, service, version, goesOn)).Inc()
}

// observe adds the time since began to a histogram.
func observe(h *metrics.Histogram, began time.Time) { h.Update(time.Since(began).Seconds()) }
