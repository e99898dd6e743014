package routed

import (
	"bytes"
	"context"
	"slices"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/amaranthshelf/amaranthshelf/internal/bulk"
	"github.com/amaranthshelf/amaranthshelf/internal/peer"
	"github.com/amaranthshelf/amaranthshelf/internal/result"
)

// The load pattern. An operator reads the route list at a control VM without a disk,
// which has a voter confirm it. The text is megabytes, the link 10 Mbit/s: an answer with
// the text in it comes after its time limit, from each voter in turn, and the operator
// never gets the list from this VM.
//
// So the voter confirms which text is the newest. The text is fetched by its reference,
// unless it is the one that was read last.

// textAnswer says which text is in force: a small one itself, a large one by its
// reference. Neither: there is none yet.
type textAnswer struct {
	Text []byte   `cbor:"1,keyasint,omitempty"`
	Ref  bulk.Ref `cbor:"2,keyasint"`
}

// inlineText is the largest text that stands in an answer itself, in bytes.
const inlineText = 8 << 10

// sharedText tells other control VMs which text is in force. Safe for concurrent use.
type sharedText struct {
	values *bulk.Store

	mu   sync.Mutex
	last []byte // what ref refers to
	ref  bulk.Ref
}

func (s *sharedText) answer(text []byte) (textAnswer, error) {
	if len(text) <= inlineText {
		return textAnswer{Text: text}, nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if bytes.Equal(s.last, text) && s.values.Holds(s.ref) {
		return textAnswer{Ref: s.ref}, nil
	}
	ref, err := s.values.Put(text)
	if err != nil {
		return textAnswer{}, err
	}
	s.last, s.ref = text, ref
	return textAnswer{Ref: ref}, nil
}

// askVoterTimeout leaves an operator, who asks elsewhere after a second, the time for a
// second voter: a confirmed read takes a round trip or two.
const askVoterTimeout = 350 * time.Millisecond

// textReader reads the route list's text through voters. Safe for concurrent use.
type textReader struct {
	t      peer.Transport
	voters func() []string
	log    zerolog.Logger

	mu   sync.Mutex
	last []byte
	ref  bulk.Ref
}

// read returns the newest text, confirmed by a majority after the call; nil: there is
// none yet.
func (r *textReader) read(ctx context.Context) ([]byte, error) {
	voters := r.voters()
	for i, vm := range voters {
		a, err := r.ask(ctx, vm)
		if err == nil {
			return r.text(ctx, a, slices.Concat(voters[i:], voters[:i]))
		}
		r.log.Debug().Err(err).Str("control", vm).Msg("route list not read")
	}
	return nil, result.New(result.ControlUnavail)
}

func (r *textReader) ask(ctx context.Context, vm string) (textAnswer, error) {
	ctx, cancel := context.WithTimeout(ctx, askVoterTimeout)
	defer cancel()
	var a textAnswer
	err := r.t.Call(ctx, vm, peer.KindRoutes, nil, &a)
	return a, err
}

func (r *textReader) text(ctx context.Context, a textAnswer, sources []string) ([]byte, error) {
	if a.Ref.Size == 0 {
		return a.Text, nil
	}
	if text := r.held(a.Ref); text != nil {
		return text, nil
	}
	text, err := bulk.Fetch(ctx, r.t, sources, a.Ref)
	if err != nil {
		r.log.Warn().Err(err).Int("bytes", a.Ref.Size).Msg("route list not fetched")
		return nil, result.New(result.ControlUnavail)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.last, r.ref = text, a.Ref
	return text, nil
}

// held returns the text that was read last, where it is the one referred to.
func (r *textReader) held(ref bulk.Ref) []byte {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.ref != ref {
		return nil
	}
	return r.last
}
