package bulk

import (
	"bytes"
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/amaranthshelf/amaranthshelf/internal/peer"
	"github.com/amaranthshelf/amaranthshelf/internal/peer/peertest"
)

// noise is a value that packing makes no smaller.
func noise(size int) []byte {
	rng := rand.New(rand.NewPCG(1, uint64(size)))
	out := make([]byte, size)
	for i := range out {
		out[i] = byte(rng.IntN(256))
	}
	return out
}

// source is a VM with a Store; it counts what it serves.
type source struct {
	*Store
	mu     sync.Mutex
	served int                   // bytes
	before func(*source, []byte) // runs before each answer
}

func addSource(n *peertest.Net, id string) *source {
	s := &source{Store: NewStore()}
	n.VM(id).Handle(peer.KindPiece, func(ctx context.Context, from string, body []byte) (any, error) {
		if s.before != nil {
			s.before(s, body)
		}
		out, err := s.Serve(ctx, from, body)
		if p, ok := out.(piece); ok {
			s.mu.Lock()
			s.served += len(p.Data)
			s.mu.Unlock()
		}
		return out, err
	})
	return s
}

func inBubble(t *testing.T, f func(t *testing.T, n *peertest.Net)) {
	synctest.Test(t, func(t *testing.T) { f(t, peertest.New(1)) })
}

func TestValueComesWhole(t *testing.T) {
	for _, size := range []int{1, pieceBytes - 1, pieceBytes, 10*pieceBytes + 1} {
		inBubble(t, func(t *testing.T, n *peertest.Net) {
			value := noise(size)
			ref, err := addSource(n, "a").Put(value)
			if err != nil {
				t.Fatal(err)
			}
			got, err := Fetch(t.Context(), n.VM("c"), []string{"a"}, ref)
			if err != nil || !bytes.Equal(got, value) {
				t.Errorf("%d bytes: got %d, %v", size, len(got), err)
			}
		})
	}
}

// Guards against a fetch that begins anew when its source is lost.
func TestRestComesFromAnotherSource(t *testing.T) {
	inBubble(t, func(t *testing.T, n *peertest.Net) {
		value := noise(10 * pieceBytes)
		a, b := addSource(n, "a"), addSource(n, "b")
		ref, err := a.Put(value)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := b.Put(value); err != nil {
			t.Fatal(err)
		}
		a.before = func(s *source, _ []byte) {
			if s.served >= 5*pieceBytes {
				n.Isolate("a")
			}
		}
		began := time.Now()
		got, err := Fetch(t.Context(), n.VM("c"), []string{"a", "b"}, ref)
		if err != nil || !bytes.Equal(got, value) {
			t.Errorf("got %d bytes, %v", len(got), err)
		}
		if took := time.Since(began); took > 2*pieceTimeout {
			t.Errorf("took %v", took)
		}
		if b.served > 6*pieceBytes {
			t.Errorf("the second source gave %d bytes of %d", b.served, ref.Size)
		}
	})
}

// Guards against a link so slow that each piece comes after its time limit.
func TestSlowPieceComesInTheEnd(t *testing.T) {
	inBubble(t, func(t *testing.T, n *peertest.Net) {
		value := noise(3 * pieceBytes)
		ref, err := addSource(n, "a").Put(value)
		if err != nil {
			t.Fatal(err)
		}
		n.SetDelay(pieceTimeout*3/4, pieceTimeout*3/4)
		got, err := Fetch(t.Context(), n.VM("c"), []string{"a"}, ref)
		if err != nil || !bytes.Equal(got, value) {
			t.Errorf("got %d bytes, %v", len(got), err)
		}
	})
}

// Guards against a VM that goes on asking for what nobody holds any more.
func TestGoneValueEndsTheFetch(t *testing.T) {
	inBubble(t, func(t *testing.T, n *peertest.Net) {
		addSource(n, "a")
		addSource(n, "b")
		began := time.Now()
		_, err := Fetch(t.Context(), n.VM("c"), []string{"a", "silent", "b"}, Ref{Sum: 1, Size: 10})
		if !errors.Is(err, ErrGone) {
			t.Errorf("error %v", err)
		}
		if took := time.Since(began); took > 2*pieceTimeout {
			t.Errorf("took %v", took)
		}
	})
}

func TestDamagedValueIsRefused(t *testing.T) {
	inBubble(t, func(t *testing.T, n *peertest.Net) {
		a := addSource(n, "a")
		ref, err := a.Put(noise(100))
		if err != nil {
			t.Fatal(err)
		}
		a.byRef[ref][50] ^= 1
		if _, err := Fetch(t.Context(), n.VM("c"), []string{"a"}, ref); !errors.Is(err, ErrDamaged) {
			t.Errorf("error %v", err)
		}
	})
}

// Guards against a Store that grows with each version.
func TestStoreIsBounded(t *testing.T) {
	s := NewStore()
	var refs []Ref
	for i := range maxHeld + 3 {
		ref, err := s.Put(noise(i + 1))
		if err != nil {
			t.Fatal(err)
		}
		refs = append(refs, ref)
	}
	for i, ref := range refs {
		if want := i >= 3; s.Holds(ref) != want {
			t.Errorf("value %d held: %v, want %v", i, !want, want)
		}
	}
}
