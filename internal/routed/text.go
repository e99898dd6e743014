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

// sharedText tells other control VMs which text is in force. Safe for concurrent use.
type sharedText struct {
	values *bulk.Store

	mu   sync.Mutex
	last []byte     // the text told last
	told bulk.Value // what was told for it
}

// answer tells a text; nil: there is none yet.
func (s *sharedText) answer(text []byte) (bulk.Value, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if bytes.Equal(s.last, text) && s.values.StillOffers(s.told) {
		return s.told, nil
	}
	v, err := s.values.Offer(text)
	if err != nil {
		return v, err
	}
	s.last, s.told = text, v
	return v, nil
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
		v, err := r.ask(ctx, vm)
		if err == nil {
			return r.text(ctx, v, slices.Concat(voters[i:], voters[:i]))
		}
		r.log.Debug().Err(err).Str("control", vm).Msg("route list not read")
	}
	return nil, result.New(result.ControlUnavail)
}

func (r *textReader) ask(ctx context.Context, vm string) (bulk.Value, error) {
	ctx, cancel := context.WithTimeout(ctx, askVoterTimeout)
	defer cancel()
	var v bulk.Value
	err := r.t.Call(ctx, vm, peer.KindRoutes, nil, &v)
	return v, err
}

func (r *textReader) text(ctx context.Context, v bulk.Value, sources []string) ([]byte, error) {
	if text := r.held(v.Ref); text != nil {
		return text, nil
	}
	text, err := v.Get(ctx, r.t, sources)
	if err != nil {
		r.log.Warn().Err(err).Int("bytes", v.Bytes()).Msg("route list not fetched")
		return nil, result.New(result.ControlUnavail)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.last, r.ref = text, v.Ref
	return text, nil
}

// held returns the text that was read last, where it is the one referred to. Small texts
// have no reference.
func (r *textReader) held(ref bulk.Ref) []byte {
	r.mu.Lock()
	defer r.mu.Unlock()
	if ref.Size == 0 || r.ref != ref {
		return nil
	}
	return r.last
}
