package forward

import (
	"github.com/amaranthshelf/amaranthshelf/internal/upstream"
)

// learnLoad records the load that a server states in an answer. A statement that cannot be
// read changes nothing, and is logged once for each server.
func (h *Handler) learnLoad(s *upstream.Server, a *Answer) {
	if a.Load != nil {
		h.opts.Fleet.SetReportedLoad(s, *a.Load)
	}
	if a.LoadUnreadable && h.opts.Fleet.NoteUnreadableLoad(s) {
		h.opts.Log.Warn().Str("server", s.ID).Str("service", s.Service).Str("request", a.RequestID).
			Msg("server states its load in an unknown format; keeping the former value")
	}
}
