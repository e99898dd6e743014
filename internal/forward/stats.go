package forward

import (
	"fmt"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/amaranthshelf/amaranthshelf/internal/result"
)

// Stats count what a Handler did. They are bounded in number: names are fixed,
// and the only label is a result code.
type Stats struct {
	set *metrics.Set

	Requests        *metrics.Counter
	Retries         *metrics.Counter // second sends
	Resumes         *metrics.Counter // streams that went on at another engine
	ResumesFromCopy *metrics.Counter // of these, from a copy of their memory
	Probes          *metrics.Counter
	CopiesOrdered   *metrics.Counter // copies made on order
	StrayAnswers    *metrics.Counter // answers to other requests, dropped
	BrokenStreams   *metrics.Counter // streams that ended broken
	CallersGone     *metrics.Counter

	FirstEvent  *metrics.Histogram // seconds from a caller's request
	ResumePause *metrics.Histogram // seconds that a resumed stream's caller saw nothing
	CallTime    *metrics.Histogram // seconds from a caller's request to the answer
	StreamWait  *metrics.Histogram // seconds that a stream waited for an engine
}

// NewStats registers the counters in a set.
func NewStats(set *metrics.Set) *Stats {
	counter := func(name string) *metrics.Counter { return set.NewCounter("shelf_" + name + "_total") }
	return &Stats{
		set: set, Requests: counter("requests"), Retries: counter("repeats"), Resumes: counter("resumes"),
		ResumesFromCopy: counter("resumes_from_copy"), Probes: counter("probes"), CopiesOrdered: counter("copies_ordered"),
		StrayAnswers: counter("stray_answers"), BrokenStreams: counter("streams_broken"), CallersGone: counter("callers_gone"),
		FirstEvent: set.NewHistogram("shelf_first_event_seconds"), ResumePause: set.NewHistogram("shelf_resume_pause_seconds"),
		CallTime: set.NewHistogram("shelf_call_seconds"), StreamWait: set.NewHistogram("shelf_stream_wait_seconds"),
	}
}

// refused counts an error of this system's own by its code.
func (s *Stats) refused(code result.Code) {
	s.set.GetOrCreateCounter(fmt.Sprintf(`shelf_refused_total{code="%d",name=%q}`, code, result.Lookup(code).Name)).Inc()
}

// observe adds a time since began to a histogram.
func observe(h *metrics.Histogram, began time.Time) { h.Update(time.Since(began).Seconds()) }
