package forward

import (
	"slices"
	"time"
)

// noteOpened records that a run was started, if its connection is open.
func (st *streamRelay) noteOpened(r *run) {
	if r != nil && r.conn != nil {
		st.open = append(st.open, r)
	}
}

// noteClosed records that the connection of a run is closed, and for how long another run of the
// stream was open beside it.
func (st *streamRelay) noteClosed(r *run) {
	i := slices.Index(st.open, r)
	if i < 0 {
		return
	}
	st.open = slices.Delete(st.open, i, i+1)
	for _, other := range st.open {
		st.noteOverlap(r, other)
	}
}

func (st *streamRelay) noteOverlap(closed, kept *run) {
	second := kept
	if closed.writtenAt.After(kept.writtenAt) {
		second = closed
	}
	overlap := time.Since(second.writtenAt)
	st.h.Stats.RunOverlap.Update(overlap.Seconds())
	st.h.opts.Log.Info().Str("request", st.q.RequestID).Str("closed", closed.server.ID).Str("kept", kept.server.ID).
		Str("second", second.server.ID).Bool("from_copy", second.from != nil).Bool("taken", !second.takenAt.IsZero()).
		Bool("closed_answers", closed.engineAnswers.Load()).Dur("overlap", overlap).Msg("one of two runs ended")
}
