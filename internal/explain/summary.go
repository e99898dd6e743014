package explain

import (
	"cmp"
	"fmt"
	"io"
	"slices"
	"time"

	"github.com/amaranthshelf/amaranthshelf/internal/result"
)

// Summary counts all routed requests in collected logs by outcome. Requests that did not
// complete in time are counted by the reason for their failure or delay.
type Summary struct {
	Streams, Calls []Row
	// RecomputedTokens is the number of prompt tokens that were prefilled again after a
	// run was lost.
	RecomputedTokens int `json:"Reread"`
}

// Row is the number of requests with the same reason.
type Row struct {
	Reason string
	Count  int
	// First and Last are the earliest and the latest time at which one of these requests
	// appears in the logs for the first time.
	First, Last time.Time
}

// Reasons of streams that were not refused, including those without a logged end. The
// texts are part of the output of `amaranthshelf explain`.
const (
	completedInTime  = "whole and in time"
	noEndLogged      = "under way when its VM ended"
	restOnly         = "came for the rest of an answer"
	lateQueued       = "first event late: waited for an engine"
	lateRecomputed   = "first event late: its engine was lost while it read the prompt"
	latePrefill      = "first event late: the prompt was read slowly"
	pausedCopy       = "paused too long: went on from a copy"
	pausedRecomputed = "paused too long: its prompt was read again"
	pausedNoResume   = "paused too long: on one engine"
)

// Summarize reads the log lines of any number of VMs. Lines that are not JSON are ignored.
func Summarize(logs []io.Reader) (Summary, error) {
	requests := map[string]*requestOutcome{}
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
				q = &requestOutcome{}
				requests[id] = q
			}
			q.addLine(l)
		}
	}
	var summary Summary
	streams, calls := map[string]*Row{}, map[string]*Row{}
	for _, q := range requests {
		summary.RecomputedTokens += q.recomputedTokens
		switch {
		case q.isStream:
			countReason(streams, q.streamReason(), q.began)
		case q.isCall:
			countReason(calls, q.callReason(), q.began)
		}
	}
	summary.Streams, summary.Calls = sortedRows(streams), sortedRows(calls)
	return summary, nil
}

func countReason(rows map[string]*Row, reason string, at time.Time) {
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

func sortedRows(rows map[string]*Row) []Row {
	out := make([]Row, 0, len(rows))
	for _, r := range rows {
		out = append(out, *r)
	}
	slices.SortFunc(out, func(a, b Row) int { return cmp.Or(cmp.Compare(b.Count, a.Count), cmp.Compare(a.Reason, b.Reason)) })
	return out
}

// requestOutcome is the state collected from the log lines of one request.
type requestOutcome struct {
	began                              time.Time
	isStream, isCall                   bool
	endLine                            *Line // the line "stream ended"
	refusalCode                        result.Code
	recomputedTokens                   int
	lostInPrefill                      bool // a run was lost before its first event
	resumedFromCopy, resumedRecomputed bool // how the stream resumed
	sends                              int
	lastSend                           string // the field "sent" of the last send of a call
	serverFailed                       bool   // the last response had a status of 500 or above
}

func (q *requestOutcome) addLine(l Line) {
	if q.began.IsZero() || l.At.Before(q.began) {
		q.began = l.At
	}
	switch l.Message {
	case "stream placed":
		q.isStream = true
		if copied, _ := l.Fields["from_copy"].(bool); !copied && l.number("send") > 1 {
			q.recomputedTokens += l.number("tokens")
		}
	case "run lost":
		q.lostInPrefill = q.lostInPrefill || l.number("passed") == 0
	case "stream went on":
		copied, _ := l.Fields["from_copy"].(bool)
		q.resumedFromCopy, q.resumedRecomputed = q.resumedFromCopy || copied, q.resumedRecomputed || !copied
	case "stream ended":
		q.isStream, q.endLine = true, &l
	case "call sent":
		q.isCall = true
		q.sends++
		q.lastSend, q.serverFailed = l.text("sent"), l.number("status") >= 500
	case "gave up":
		q.refusalCode = result.Code(l.number("code"))
	case "reconnect refused":
		q.isStream, q.refusalCode = true, result.Code(l.number("code"))
	}
	if l.Message == "gave up" && !q.isStream {
		q.isCall = true // refused before any send
	}
}

func (q *requestOutcome) streamReason() string {
	if q.endLine == nil && q.refusalCode != 0 {
		return q.refusalReason()
	}
	if q.endLine == nil {
		return noEndLogged
	}
	if rest, _ := q.endLine.Fields["rest_only"].(bool); rest {
		return restOnly
	}
	if outcome := q.endLine.text("outcome"); outcome != "whole" {
		return "not whole: " + outcome
	}
	objective, pause := q.endLine.ms("objective"), q.endLine.ms("pause_objective")
	switch first := q.endLine.ms("first_event"); {
	case objective > 0 && first > objective:
		return q.lateReason(first - objective)
	case pause > 0 && q.endLine.ms("longest_pause") > pause:
		return q.pauseReason()
	}
	return completedInTime
}

// lateReason returns why the first event came after its objective; by is the delay.
func (q *requestOutcome) lateReason(by time.Duration) string {
	switch {
	case q.lostInPrefill:
		return lateRecomputed
	case q.endLine.ms("waited") >= by:
		return lateQueued
	}
	return latePrefill
}

func (q *requestOutcome) pauseReason() string {
	switch {
	case q.resumedRecomputed:
		return pausedRecomputed
	case q.resumedFromCopy:
		return pausedCopy
	}
	return pausedNoResume
}

func (q *requestOutcome) refusalReason() string {
	return fmt.Sprintf("%d %s", q.refusalCode, result.Lookup(q.refusalCode).Name)
}

func (q *requestOutcome) callReason() string {
	switch {
	case q.refusalCode != 0:
		return q.refusalReason()
	case q.serverFailed:
		return "the server's own failure"
	case q.lastSend != "answered":
		return "last send " + q.lastSend
	case q.sends > 1:
		return "answered after a further send"
	}
	return "answered"
}

// ms returns the value of a field in milliseconds, or 0.
func (l *Line) ms(field string) time.Duration {
	n, _ := l.Fields[field].(float64)
	return time.Duration(n * float64(time.Millisecond))
}
