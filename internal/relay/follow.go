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

// A follower reads an answer from its owner by long polls, so that a caller who
// reconnects to another VM costs no engine work while the owner lives.
const (
	pollTime  = 1 * time.Second
	pollGrace = 1 * time.Second // beyond pollTime: the owner is dead or cut off
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
	Opening bool                `cbor:"5,keyasint,omitempty"` // not the owner yet
	Ran     result.Ran          `cbor:"6,keyasint,omitempty"` // with Code
}

// Reader reads one caller's answer, wherever its owner is: on this VM or on
// another one. When the owner is lost the reader opens the journal again, and
// this VM may become the owner. It is not safe for concurrent use.
type Reader struct {
	hub   *Hub
	req   generation.Request
	local *Run   // the owner, where it is this VM
	owner string // else the owner's VM
}

// Request is the request as it was accepted.
func (f *Reader) Request() *generation.Request { return &f.req }

// Release tells that the caller is gone.
func (f *Reader) Release() {
	if f.local != nil {
		f.local.leave()
	}
}

// Wait returns tokens from index from on, blocking until there are some, the
// answer has ended, or ctx is done.
func (f *Reader) Wait(ctx context.Context, from int) (Chunk, error) {
	for {
		chunk, err := f.read(ctx, from)
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
			if err := f.reopen(ctx); err != nil {
				return chunk, err
			}
		}
	}
}

func (f *Reader) read(ctx context.Context, from int) (Chunk, error) {
	if f.local != nil {
		return f.local.Wait(ctx, from)
	}
	return f.poll(ctx, from)
}

// reopen finds or becomes the owner after the present one was lost.
func (f *Reader) reopen(ctx context.Context) error {
	next, err := f.hub.read(ctx, f.req, true)
	if err != nil {
		return err
	}
	f.Release()
	f.local, f.owner = next.local, next.owner
	return nil
}

// probe asks a VM whether it owns a journal, or is about to.
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

func (f *Reader) poll(ctx context.Context, from int) (Chunk, error) {
	ctx, cancel := context.WithTimeout(ctx, pollTime+pollGrace)
	defer cancel()
	var reply followReply
	err := f.hub.transport.Call(ctx, f.owner, peer.KindFollow, followRequest{ID: f.req.ID, From: from}, &reply)
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
	opening := h.isOpening(req.ID) // before the run: it becomes one, never the reverse
	run := h.Run(req.ID)
	if run == nil || run.ended() {
		return followReply{Opening: opening}, nil
	}
	if req.From < 0 {
		return followReply{Found: true, Request: run.Request()}, nil
	}
	run.join()
	defer run.leave()
	ctx, cancel := context.WithTimeout(ctx, pollTime)
	defer cancel()
	chunk, err := run.Wait(ctx, req.From)
	switch {
	case err == nil, errors.Is(err, context.DeadlineExceeded):
		return followReply{Found: true, Chunk: chunk}, nil
	case errors.Is(err, generation.ErrDeposed), run.letGo():
		return followReply{}, nil
	}
	coded := result.From(err)
	return followReply{Found: true, Code: int(coded.Code), Ran: coded.Ran}, nil
}
