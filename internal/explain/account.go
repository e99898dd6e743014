package explain

import (
	"cmp"
	"fmt"
	"io"
	"slices"
	"time"

	"github.com/amaranthshelf/amaranthshelf/internal/result"
)

// Account is what collected logs say of all routed requests: how many went well, and
// how many of the others were lost for which reason.
type Summary struct {
	Streams, Calls []Row
	// Reread is how many tokens of prompts were read again after a run was lost.
	RecomputedTokens int
}

// Row is one reason.
type Row struct {
	Reason string
	Count  int
	// First and Last are when the first and the last of them came.
	First, Last time.Time
}

// Reasons of streams that went well, or whose end no line tells.
const (
	wentWell     = "whole and in time"
	neverEnded   = "under way when its VM ended"
	restOnly     = "came for the rest of an answer"
	lateWaited   = "first event late: waited for an engine"
	lateReread   = "first event late: its engine was lost while it read the prompt"
	lateRead     = "first event late: the prompt was read slowly"
	pausedCopy   = "paused too long: went on from a copy"
	pausedReread = "paused too long: its prompt was read again"
	pausedAlone  = "paused too long: on one engine"
)

// NewAccount reads log lines of any number of VMs.
func Summarize(logs []io.Reader) (Summary, error) {
	requests := map[string]*requestLines{}
	for _, r := range logs {
		lines, err := readLines(r)
		if err != nil {
			return Summary{}, err
		}
		for _, l := range lines {
			id := l.text("request")
			if id == "" {
				continue
			}
			q := requests[id]
			if q == nil {
				q = &requestLines{}
				requests[id] = q
			}
			q.note(l)
		}
	}
	var a Summary
	streams, calls := map[string]*Row{}, map[string]*Row{}
	for _, q := range requests {
		a.RecomputedTokens += q.reread
		switch {
		case q.isStream:
			add(streams, q.streamReason(), q.began)
		case q.isCall:
			add(calls, q.callReason(), q.began)
		}
	}
	a.Streams, a.Calls = sorted(streams), sorted(calls)
	return a, nil
}

func add(rows map[string]*Row, reason string, at time.Time) {
	r := rows[reason]
	if r == nil {
		r = &Row{Reason: reason, First: at, Last: at}
		rows[reason] = r
	}
	r.Count++
	if at.Before(r.First) {
		r.First = at
	}
	if at.After(r.Last) {
		r.Last = at
	}
}

func sorted(rows map[string]*Row) []Row {
	out := make([]Row, 0, len(rows))
	for _, r := range rows {
		out = append(out, *r)
	}
	slices.SortFunc(out, func(a, b Row) int { return cmp.Or(cmp.Compare(b.Count, a.Count), cmp.Compare(a.Reason, b.Reason)) })
	return out
}

// requestLines is what the lines of one request say.
type requestLines struct {
	began            time.Time
	isStream, isCall bool
	ended            *Line // "stream ended"
	refusal          result.Code
	reread           int
	lostReading      bool // a run was lost before its first event
	fromCopy, anew   bool // it went on so
	sends            int
	last             string // what the last send of a call came to
	failed           bool   // the last answer was the server's own failure
}

func (q *requestLines) note(l Line) {
	if q.began.IsZero() || l.At.Before(q.began) {
		q.began = l.At
	}
	switch l.Message {
	case "stream placed":
		q.isStream = true
		if copied, _ := l.Fields["from_copy"].(bool); !copied && l.number("send") > 1 {
			q.reread += l.number("tokens")
		}
	case "run lost":
		q.lostReading = q.lostReading || l.number("passed") == 0
	case "stream went on":
		copied, _ := l.Fields["from_copy"].(bool)
		q.fromCopy, q.anew = q.fromCopy || copied, q.anew || !copied
	case "stream ended":
		q.isStream, q.ended = true, &l
	case "call sent":
		q.isCall = true
		q.sends++
		q.last, q.failed = l.text("sent"), l.number("status") >= 500
	case "gave up":
		q.refusal = result.Code(l.number("code"))
	}
	if l.Message == "gave up" && !q.isStream {
		q.isCall = true // refused before any send
	}
}

func (q *requestLines) streamReason() string {
	if q.ended == nil {
		return neverEnded
	}
	if rest, _ := q.ended.Fields["rest_only"].(bool); rest {
		return restOnly
	}
	if outcome := q.ended.text("outcome"); outcome != "whole" {
		return "not whole: " + outcome
	}
	objective, pause := q.ended.ms("objective"), q.ended.ms("pause_objective")
	switch first := q.ended.ms("first_event"); {
	case objective > 0 && first > objective:
		return q.lateReason(first - objective)
	case pause > 0 && q.ended.ms("longest_pause") > pause:
		return q.pauseReason()
	}
	return wentWell
}

// lateReason is why a first event came too late by some time.
func (q *requestLines) lateReason(by time.Duration) string {
	switch {
	case q.lostReading:
		return lateReread
	case q.ended.ms("waited") >= by:
		return lateWaited
	}
	return lateRead
}

func (q *requestLines) pauseReason() string {
	switch {
	case q.anew:
		return pausedReread
	case q.fromCopy:
		return pausedCopy
	}
	return pausedAlone
}

func (q *requestLines) callReason() string {
	switch {
	case q.refusal != 0:
		return fmt.Sprintf("%d %s", q.refusal, result.Lookup(q.refusal).Name)
	case q.failed:
		return "the server's own failure"
	case q.last != "answered":
		return "last send " + q.last
	case q.sends > 1:
		return "answered after a further send"
	}
	return "answered"
}

// ms is a field that holds milliseconds.
func (l *Line) ms(field string) time.Duration {
	n, _ := l.Fields[field].(float64)
	return time.Duration(n * float64(time.Millisecond))
}
