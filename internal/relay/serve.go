package relay

import (
	"context"
	"expvar"
	"time"

	"github.com/amaranthshelf/amaranthshelf/internal/codec"
	"github.com/amaranthshelf/amaranthshelf/internal/generation"
)

func (h *Hub) handleWrites(_ context.Context, _ string, body []byte) (any, error) {
	var batch WriteBatch
	if err := codec.Unmarshal(body, &batch); err != nil {
		return nil, err
	}
	return h.write(batch), nil
}

// write applies writes to this VM's keeper.
func (h *Hub) write(batch WriteBatch) WriteReplies {
	out := WriteReplies{Replies: make([]generation.WriteReply, 0, len(batch.Writes))}
	now := time.Now()
	h.keeperMu.Lock()
	defer h.keeperMu.Unlock()
	for _, w := range batch.Writes {
		reply := h.keeper.Write(w, now)
		if reply.Refusal == generation.BreaksInvariant {
			h.invariantBroken(w.ID)
		}
		out.Replies = append(out.Replies, reply)
	}
	return out
}

func (h *Hub) handlePromise(_ context.Context, _ string, body []byte) (any, error) {
	var p generation.Promise
	if err := codec.Unmarshal(body, &p); err != nil {
		return nil, err
	}
	h.keeperMu.Lock()
	defer h.keeperMu.Unlock()
	return h.keeper.Promise(p, time.Now()), nil
}

func (h *Hub) invariantBroken(id generation.RequestID) {
	h.metrics.Add("invariants_broken", 1)
	h.log.Error().Str("request_id", id.Key).Str("workspace", id.Workspace).Msg("invariant broken: answer stopped")
}

func (h *Hub) setGauge(name string, value int64) {
	v, ok := h.metrics.Get(name).(*expvar.Int)
	if !ok {
		v = new(expvar.Int)
		h.metrics.Set(name, v)
	}
	v.Set(value)
}
