package forward

import (
	"context"
	"net/http"
	"time"

	"github.com/amaranthshelf/amaranthshelf/internal/handoff"
	"github.com/amaranthshelf/amaranthshelf/internal/result"
	"github.com/amaranthshelf/amaranthshelf/internal/upstream"
)

// HandOff has other VMs serve requests. *handoff.Client implements it.
type HandOff interface {
	Serve(ctx context.Context, w http.ResponseWriter, q handoff.Request) handoff.Outcome
}

const (
	// maxHandOffs bounds how often a repeatable call is handed off.
	maxHandOffs = 2
	// noServerRetryAfter is the Retry-After of a request that no VM can serve. A lost service
	// is probed several times in this time.
	noServerRetryAfter = time.Second
)

// mustHandOff reports whether a request can only be served by another VM.
func (h *Handler) mustHandOff(q *request) bool {
	return h.opts.HandOff != nil && !handoff.IsRelayed(q.ctx) && !h.opts.Fleet.Reaches(q.service.Name)
}

// handOff has another VM serve a request. That VM counts it, in budgets, limits and records
// of contents; this one does not, unless it goes on with the stream itself.
func (h *Handler) handOff(w http.ResponseWriter, q *request) {
	if q.isStream() {
		h.handOffStream(w, q)
		return
	}
	for range maxHandOffs {
		switch h.serveElsewhere(q, relayedAnswer{w, h}) {
		case handoff.Answered:
			return
		case handoff.NotTaken:
			h.refuseHandOff(w, q)
			return
		case handoff.Broken:
			h.abortHandOff()
		case handoff.CallerLeft:
			h.endGone()
		case handoff.Lost:
			q.history.Add(sendUnknown)
		}
		if q.ctx.Err() != nil {
			h.endCall(w, q, nil, result.RouteTimeout)
			return
		}
		if !q.history.MaySend() {
			break
		}
	}
	h.endCall(w, q, nil, result.OutcomeUnknown)
}

// otherVM stands for the server of a request that another VM serves, in logs.
const otherVM = "another VM"

// serveElsewhere has another VM serve a request. It waits for no server here meanwhile.
func (h *Handler) serveElsewhere(q *request, w http.ResponseWriter) handoff.Outcome {
	h.Stats.HandOffs.Inc()
	q.status.noteSent(otherVM)
	return h.opts.HandOff.Serve(q.ctx, w, h.offerOf(q))
}

// relayedAnswer writes the answer of another VM to a caller. That VM may shut down while this one, to
// which the caller is connected, does not, and the reverse.
type relayedAnswer struct {
	http.ResponseWriter
	h *Handler
}

// WriteHeader implements http.ResponseWriter.
func (a relayedAnswer) WriteHeader(status int) {
	a.Header().Del("Connection")
	if a.h.opts.Closing() {
		a.Header().Set("Connection", "close")
	}
	a.ResponseWriter.WriteHeader(status)
}

// Unwrap lets http.ResponseController find the connection.
func (a relayedAnswer) Unwrap() http.ResponseWriter { return a.ResponseWriter }

// refuseHandOff answers a request that no VM takes.
func (h *Handler) refuseHandOff(w http.ResponseWriter, q *request) {
	q.setRetryAfter(noServerRetryAfter)
	h.endCall(w, q, nil, result.NoServerReached)
}

// abortHandOff aborts an answer that is not complete. A regular end would make it look so.
func (h *Handler) abortHandOff() {
	h.Stats.BrokenStreams.Inc()
	panic(http.ErrAbortHandler)
}

// offerOf returns the request as its caller sent it, with the time that is left.
func (h *Handler) offerOf(q *request) handoff.Request {
	header := q.outbound.Header.Clone()
	h.opts.Wire.SetDeadline(header, max(time.Millisecond, q.left()))
	if q.HasAfter && q.FirstAttempt != "" {
		h.opts.Wire.SetReconnect(header, q.After, q.FirstAttempt)
	}
	return handoff.Request{
		Service: q.service.Name, Method: q.outbound.Method, URI: q.outbound.URI, Host: q.outbound.Host, Header: header, Body: q.outbound.Body,
	}
}

// ProbeService probes one server of a service without waiting for the result, to find out
// whether this VM reaches it.
func (h *Handler) ProbeService(service string) {
	if s := h.opts.Fleet.AnyServer(service); s != nil {
		h.Stats.Probes.Inc()
		go h.noteProbe(s, h.prober.start(s))
	}
}

func (h *Handler) noteProbe(s *upstream.Server, p *probe) {
	<-p.done
	if !p.alive && !p.withheld {
		h.opts.Fleet.Unanswered(s)
	}
	if p.endsConnections() {
		h.opts.SuspectContents.confirmDeath(s.ID)
	}
}
