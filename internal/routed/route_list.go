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

// This file serves large route lists to operators over slow links. An operator reads the
// route list from a control VM without a disk, which asks a voter to confirm it. The text
// has megabytes and the link has 10 Mbit/s. An answer that contained the text would
// exceed the timeout, with each voter in turn, and the operator would never get the list
// from this VM.
//
// The voter therefore answers with a reference to the newest text only. The control VM
// fetches the text by its reference, unless it is the one that it fetched last.

// routeListServer tells other control VMs which text is in force. It is safe for
// concurrent use.
type routeListServer struct {
	values *bulk.Store

	mu      sync.Mutex
	last    []byte     // the text of the last answer
	offered bulk.Value // the answer for it
}

// answer returns the answer for a text, which is nil while there is no route list.
func (s *routeListServer) answer(text []byte) (bulk.Value, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if bytes.Equal(s.last, text) && s.values.StillOffers(s.offered) {
		return s.offered, nil
	}
	v, err := s.values.Offer(text)
	if err != nil {
		return v, err
	}
	s.last, s.offered = text, v
	return v, nil
}

// askVoterTimeout leaves time to ask a second voter before the operator turns to another
// VM, which it does after a second. A confirmed read takes one or two round trips.
const askVoterTimeout = 350 * time.Millisecond

// routeListReader reads the route list's text through voters. It is safe for concurrent
// use.
type routeListReader struct {
	t      peer.Transport
	voters func() []string
	log    zerolog.Logger

	mu   sync.Mutex
	last []byte
	ref  bulk.Ref
}

// read returns the newest text, which a majority has confirmed after the call. It is nil
// while there is no route list.
func (r *routeListReader) read(ctx context.Context) ([]byte, error) {
	voters := r.voters()
	for i, vm := range voters {
		v, err := r.ask(ctx, vm)
		if err == nil {
			return r.fetch(ctx, v, slices.Concat(voters[i:], voters[:i]))
		}
		r.log.Debug().Err(err).Str("control", vm).Msg("voter did not confirm the route list; asking the next one, if any")
	}
	return nil, result.New(result.ControlUnavail)
}

func (r *routeListReader) ask(ctx context.Context, vm string) (bulk.Value, error) {
	ctx, cancel := context.WithTimeout(ctx, askVoterTimeout)
	defer cancel()
	var v bulk.Value
	err := r.t.Call(ctx, vm, peer.KindRoutes, nil, &v)
	return v, err
}

func (r *routeListReader) fetch(ctx context.Context, v bulk.Value, sources []string) ([]byte, error) {
	if text := r.cached(v.Ref); text != nil {
		return text, nil
	}
	text, err := v.Get(ctx, r.t, sources)
	if err != nil {
		r.log.Warn().Err(err).Int("bytes", v.Bytes()).Msg("route list could not be fetched; answering that the control group is unavailable")
		return nil, result.New(result.ControlUnavail)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.last, r.ref = text, v.Ref
	return text, nil
}

// cached returns the text that was fetched last if ref refers to it, and nil otherwise.
// Small texts have no reference.
func (r *routeListReader) cached(ref bulk.Ref) []byte {
	r.mu.Lock()
	defer r.mu.Unlock()
	if ref.Size == 0 || r.ref != ref {
		return nil
	}
	return r.last
}
