package handoff

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/amaranthshelf/amaranthshelf/internal/peer"
)

// Guards against an answer of another VM whose head is none and that a caller gets as an answer: a VM of
// a former build passes on what its server sent.
func TestInvalidHeads(t *testing.T) {
	valid := http.Header{"X-Backend-Signature": {"s"}, "Content-Length": {"3"}}
	with := func(name, value string) http.Header {
		h := valid.Clone()
		h[name] = []string{value}
		return h
	}
	for _, p := range []Piece{
		{Status: 99, Header: valid},
		{Status: -1, Header: valid},
		{Status: 600, Header: valid},
		{Status: 999, Header: valid},
		{Status: 0, Header: valid},
		{Status: 0},
		{Status: 200, Header: with("X A", "b")},
		{Status: 200, Header: with("Transfer-Encoding ", "chunked")},
		{Status: 200, Header: with("", "b")},
	} {
		for i := range 4 {
			statesEnd, hasData := i%2 == 1, i/2 == 1
			t.Run(fmt.Sprintf("status %d, %v, states end: %t, data: %t", p.Status, p.Header, statesEnd, hasData), func(t *testing.T) {
				inSystem(t, begun, func(t *testing.T, s *system) {
					if hasData {
						p.Data = []byte("one")
					}
					s.answerWith(p, statesEnd)
					w := &headRecorder{ResponseRecorder: httptest.NewRecorder()}
					if got := s.send(t.Context(), w, "votes"); got != Lost || len(w.heads) > 0 || w.Body.Len() > 0 {
						t.Errorf("got outcome %d, heads %v and the body %q, want a lost answer", got, w.heads, w.Body.String())
					}
				})
			})
		}
	}
}

// headRecorder records the statuses that were written.
type headRecorder struct {
	*httptest.ResponseRecorder
	heads []int
}

func (w *headRecorder) WriteHeader(status int) { w.heads = append(w.heads, status) }

// answerWith replaces the VMs of a system by one that answers each request with a whole answer.
func (s *system) answerWith(p Piece, statesEnd bool) {
	s.net.Kill("b")
	p.Known, p.End, p.Complete = true, true, statesEnd
	t := s.net.VM("a")
	t.Handle(peer.KindOffer, func(context.Context, string, []byte) (any, error) {
		return OfferReply{Taken: true, StatesEnd: statesEnd}, nil
	})
	t.Handle(peer.KindReadAnswer, func(context.Context, string, []byte) (any, error) { return p, nil })
	t.Handle(peer.KindReleaseOffer, func(context.Context, string, []byte) (any, error) { return nil, nil })
}
