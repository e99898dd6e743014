package handoff

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/amaranthshelf/amaranthshelf/internal/peer"
)

// formerPiece is a Piece of the former build, which states no complete end.
type formerPiece struct {
	Known   bool        `cbor:"1,keyasint,omitempty"`
	Status  int         `cbor:"2,keyasint,omitempty"`
	Header  http.Header `cbor:"3,keyasint,omitempty"`
	Data    []byte      `cbor:"4,keyasint,omitempty"`
	End     bool        `cbor:"5,keyasint,omitempty"`
	Aborted bool        `cbor:"6,keyasint,omitempty"`
}

// formerReply is an OfferReply of the former build.
type formerReply struct {
	Taken bool `cbor:"1,keyasint,omitempty"`
}

// startFormerServer replaces the VMs of a system by one of the former build, whose answer is p. If
// it is stopped, it is gone shortly after it ended its answers.
func (s *system) startFormerServer(p *formerPiece, stopped bool) {
	s.net.Kill("b")
	t := s.net.VM("a")
	t.Handle(peer.KindOffer, func(context.Context, string, []byte) (any, error) { return formerReply{Taken: true}, nil })
	t.Handle(peer.KindReadAnswer, func(context.Context, string, []byte) (any, error) {
		if stopped {
			time.AfterFunc(20*time.Millisecond, func() { s.net.Kill("a") })
		}
		return p, nil
	})
	t.Handle(peer.KindReleaseOffer, func(context.Context, string, []byte) (any, error) { return nil, nil })
}

// Guards against a rolling upgrade that breaks all answers of VMs of the former build, and
// against one that passes on their false ends: stopped, they end answers like complete ones.
func TestAnswersOfVMsOfTheFormerBuild(t *testing.T) {
	signed := http.Header{"X-Backend-Signature": {"s"}}
	withLength := func(n string) http.Header {
		return http.Header{"X-Backend-Signature": {"s"}, "Content-Length": {n}}
	}
	for _, tt := range []struct {
		name    string
		p       formerPiece
		stopped bool
		want    Outcome
	}{
		{"whole stream", formerPiece{Known: true, Status: 200, Header: signed, Data: []byte("one"), End: true}, false, Answered},
		{"stream of a stopped VM", formerPiece{Known: true, Status: 200, Header: signed, Data: []byte("one"), End: true}, true, Broken},
		{"aborted stream", formerPiece{Known: true, Status: 200, Header: signed, Data: []byte("one"), End: true, Aborted: true}, false, Broken},
		{"stopped VM before the head", formerPiece{Known: true, Status: 200, End: true}, true, Lost},
		{"whole call of a stopped VM", formerPiece{Known: true, Status: 200, Header: withLength("3"), Data: []byte("one"), End: true}, true, Answered},
		{"part of a call", formerPiece{Known: true, Status: 200, Header: withLength("6"), Data: []byte("one"), End: true}, false, Broken},
	} {
		t.Run(tt.name, func(t *testing.T) {
			inSystem(t, begun, func(t *testing.T, s *system) {
				s.startFormerServer(&tt.p, tt.stopped)
				if got := s.send(t.Context(), httptest.NewRecorder(), "votes"); got != tt.want {
					t.Errorf("got outcome %d, want %d", got, tt.want)
				}
			})
		})
	}
}

func begun(w http.ResponseWriter, _ *http.Request) { begin(w) }

// Guards against an answer that ends early and that a VM of the former build takes for complete,
// and against whole ones that it takes for broken.
func TestAnswersToVMsOfTheFormerBuild(t *testing.T) {
	for _, tt := range []struct {
		name    string
		serve   http.HandlerFunc
		aborted bool
	}{
		{"whole", begun, false},
		{"stopped", func(w http.ResponseWriter, r *http.Request) {
			begin(w)
			<-r.Context().Done()
		}, true},
		{"stopped before the head", func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }, true},
	} {
		t.Run(tt.name, func(t *testing.T) {
			inSystem(t, tt.serve, func(t *testing.T, s *system) {
				time.AfterFunc(100*time.Millisecond, s.stop)
				former := s.net.VM("former")
				var reply formerReply
				offer := Request{ID: 7, Service: "votes", Method: http.MethodPost, URI: "/vote/1", Host: "shelf", Header: http.Header{}}
				if err := former.Call(t.Context(), "a", peer.KindOffer, &offer, &reply); err != nil || !reply.Taken {
					t.Fatalf("got error %v and %+v, want the request taken", err, reply)
				}
				var p formerPiece
				for range 2 { // the first read starts the request
					if err := former.Call(t.Context(), "a", peer.KindReadAnswer, ReadRequest{ID: 7}, &p); err != nil {
						t.Fatal(err)
					}
					time.Sleep(200 * time.Millisecond)
				}
				if !p.Known || !p.End || p.Aborted != tt.aborted {
					t.Errorf("got %+v, want the end, aborted: %t", p, tt.aborted)
				}
			})
		})
	}
}
