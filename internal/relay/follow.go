package relay

import (
	"context"
	"errors"
	"time"

	"github.com/amaranthshelf/amaranthshelf/internal/codec"
	"github.com/amaranthshelf/amaranthshelf/internal/generation"
	"github.com/amaranthshelf/amaranthshelf/internal/peer"
	"github.com/amaranthshelf/amaranthshelf/internal/result"
)

// A follower reads an answer from its owner by long polls. A caller that reconnects
// to another VM therefore causes no engine work while the owner is alive.
const (
	pollTime  = 1 * time.Second
	pollGrace = 1 * time.Second // after pollTime + pollGrace the owner counts as lost
)

type followRequest struct {
	ID   generation.RequestID `cbor:"1,keyasint"`
	From int                  `cbor:"2,keyasint"`
}

type followReply struct {
	Found   bool                `cbor:"1,keyasint"`
	Chunk   Chunk               `cbor:"2,keyasint"`
	Code    int                 `cbor:"3,keyasint,omitempty"`
	Request *generation.Request `cbor:"4,keyasint,omitempty"`
	Opening bool                `cbor:"5,keyasint,omitempty"` // the VM is about to become the owner
	Ran     result.Ran          `cbor:"6,keyasint,omitempty"` // with Code
}

// Reader reads one caller's answer from its owner, which may be this VM or another
// one. If the owner is lost, the reader opens the journal again, and this VM may
// become the owner. A Reader is not safe for concurrent use.
type Reader struct {
	hub   *Hub
	req   generation.Request
	local *Run   // set if this VM is the owner
	owner string // the owner's VM, if local is nil
}

// Request returns the request as it was accepted.
func (r *Reader) Request() *generation.Request { return &r.req }

// Release ends the caller's read of the generation, which is cancelled after
// Config.CallerKeep without readers.
func (r *Reader) Release() {
	if r.local != nil {
		r.local.removeReader()
	}
}

// Wait returns the released tokens that start at index from. It blocks until there is
// at least one, the answer has ended, or ctx is done.
func (r *Reader) Wait(ctx context.Context, from int) (Chunk, error) {
	for {
		chunk, err := r.read(ctx, from)
		if err == nil && (len(chunk.Span.Tokens) > 0 || chunk.Finish != "") {
			return chunk, nil
		}
		if ctx.Err() != nil {
			return chunk, ctx.Err()
		}
		var coded *result.Error
		if errors.As(err, &coded) {
			return chunk, err
		}
		if err != nil {
			if err := r.reopen(ctx); err != nil {
				return chunk, err
			}
		}
	}
}

func (r *Reader) read(ctx context.Context, from int) (Chunk, error) {
	if r.local != nil {
		return r.local.Wait(ctx, from)
	}
	return r.poll(ctx, from)
}

// reopen finds the new owner after the current one was lost, or makes this VM the
// owner.
func (r *Reader) reopen(ctx context.Context) error {
	next, err := r.hub.read(ctx, r.req, true)
	if err != nil {
		return err
	}
	r.Release()
	r.local, r.owner = next.local, next.owner
	return nil
}

// probe asks the VM of an epoch whether it owns a journal or is about to. The reply is
// empty if the VM does not answer.
func (h *Hub) probe(ctx context.Context, id generation.RequestID, epochVM string) followReply {
	vm := vmOf(epochVM)
	if vm == "" || vm == h.cfg.VM || !h.members.Reachable(vm) {
		return followReply{}
	}
	ctx, cancel := context.WithTimeout(ctx, pollGrace)
	defer cancel()
	var reply followReply
	if err := h.transport.Call(ctx, vm, peer.KindFollow, followRequest{ID: id, From: -1}, &reply); err != nil {
		return followReply{}
	}
	if reply.Request != nil {
		h.metrics.Add("follows", 1)
	}
	return reply
}

var errNotOwner = errors.New("relay: VM does not own the generation")

func (r *Reader) poll(ctx context.Context, from int) (Chunk, error) {
	ctx, cancel := context.WithTimeout(ctx, pollTime+pollGrace)
	defer cancel()
	var reply followReply
	err := r.hub.transport.Call(ctx, r.owner, peer.KindFollow, followRequest{ID: r.req.ID, From: from}, &reply)
	switch {
	case err != nil:
		return Chunk{}, err
	case !reply.Found:
		return Chunk{}, errNotOwner
	case reply.Code != 0:
		return Chunk{}, result.New(result.Code(reply.Code)).WithRan(reply.Ran)
	}
	return reply.Chunk, nil
}

func (h *Hub) handleFollow(ctx context.Context, _ string, body []byte) (any, error) {
	var req followRequest
	if err := codec.Unmarshal(body, &req); err != nil {
		return nil, err
	}
	opening := h.isOpening(req.ID) // read before the run: an opening becomes a run, never the reverse
	run := h.Run(req.ID)
	if run == nil || run.stopped() {
		return followReply{Opening: opening}, nil
	}
	if req.From < 0 {
		return followReply{Found: true, Request: run.Request()}, nil
	}
	run.addReader()
	defer run.removeReader()
	ctx, cancel := context.WithTimeout(ctx, pollTime)
	defer cancel()
	chunk, err := run.Wait(ctx, req.From)
	switch {
	case err == nil, errors.Is(err, context.DeadlineExceeded):
		return followReply{Found: true, Chunk: chunk}, nil
	case errors.Is(err, generation.ErrDeposed), run.handedOff():
		return followReply{}, nil
	}
	coded := result.From(err)
	return followReply{Found: true, Code: int(coded.Code), Ran: coded.Ran}, nil
}
