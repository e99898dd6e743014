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

// incompressible returns a value that packing does not make smaller.
func incompressible(size int) []byte {
	rng := rand.New(rand.NewPCG(1, uint64(size)))
	out := make([]byte, size)
	for i := range out {
		out[i] = byte(rng.IntN(256))
	}
	return out
}

// testSource is a VM with a Store that counts the bytes it serves.
type testSource struct {
	*Store
	mu          sync.Mutex
	servedBytes int
	beforeServe func(*testSource, []byte) // runs before each answer
}

func addSource(n *peertest.Net, id string) *testSource {
	s := &testSource{Store: NewStore()}
	n.VM(id).Handle(peer.KindPiece, func(ctx context.Context, from string, body []byte) (any, error) {
		if s.beforeServe != nil {
			s.beforeServe(s, body)
		}
		out, err := s.Serve(ctx, from, body)
		if p, ok := out.(piece); ok {
			s.mu.Lock()
			s.servedBytes += len(p.Data)
			s.mu.Unlock()
		}
		return out, err
	})
	return s
}

func inBubble(t *testing.T, f func(t *testing.T, n *peertest.Net)) {
	synctest.Test(t, func(t *testing.T) { f(t, peertest.New(1)) })
}

func TestFetch(t *testing.T) {
	for _, size := range []int{1, pieceBytes - 1, pieceBytes, 10*pieceBytes + 1} {
		inBubble(t, func(t *testing.T, n *peertest.Net) {
			value := incompressible(size)
			ref, err := addSource(n, "a").Put(value)
			if err != nil {
				t.Fatal(err)
			}
			got, err := Fetch(t.Context(), n.VM("c"), []string{"a"}, ref)
			if err != nil || !bytes.Equal(got, value) {
				t.Errorf("value of %d bytes: got %d bytes, error %v; want the same value and no error", size, len(got), err)
			}
		})
	}
}

// Guards against a fetch that starts over when its source is lost.
func TestFetchFailover(t *testing.T) {
	inBubble(t, func(t *testing.T, n *peertest.Net) {
		value := incompressible(10 * pieceBytes)
		a, b := addSource(n, "a"), addSource(n, "b")
		ref, err := a.Put(value)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := b.Put(value); err != nil {
			t.Fatal(err)
		}
		a.beforeServe = func(s *testSource, _ []byte) {
			if s.servedBytes >= 5*pieceBytes {
				n.Isolate("a")
			}
		}
		began := time.Now()
		got, err := Fetch(t.Context(), n.VM("c"), []string{"a", "b"}, ref)
		if err != nil || !bytes.Equal(got, value) {
			t.Errorf("got %d bytes, error %v, want the whole value", len(got), err)
		}
		if took := time.Since(began); took > 2*initialPieceTimeout {
			t.Errorf("fetch took %v, want at most twice initialPieceTimeout", took)
		}
		if b.servedBytes > 6*pieceBytes {
			t.Errorf("the second source served %d bytes of %d, want at most 6 pieces", b.servedBytes, ref.Size)
		}
	})
}

// Guards against a fetch that fails on a link so slow that each piece misses the initial
// timeout.
func TestFetchOverSlowLink(t *testing.T) {
	inBubble(t, func(t *testing.T, n *peertest.Net) {
		value := incompressible(3 * pieceBytes)
		ref, err := addSource(n, "a").Put(value)
		if err != nil {
			t.Fatal(err)
		}
		n.SetDelay(initialPieceTimeout*3/4, initialPieceTimeout*3/4)
		got, err := Fetch(t.Context(), n.VM("c"), []string{"a"}, ref)
		if err != nil || !bytes.Equal(got, value) {
			t.Errorf("got %d bytes, error %v, want the whole value", len(got), err)
		}
	})
}

// Guards against a fetch that continues to ask for a value that no source holds any more.
func TestFetchOfGoneValue(t *testing.T) {
	inBubble(t, func(t *testing.T, n *peertest.Net) {
		addSource(n, "a")
		addSource(n, "b")
		began := time.Now()
		_, err := Fetch(t.Context(), n.VM("c"), []string{"a", "silent", "b"}, Ref{Sum: 1, Size: 10})
		if !errors.Is(err, ErrGone) {
			t.Errorf("got error %v, want ErrGone", err)
		}
		if took := time.Since(began); took > 2*initialPieceTimeout {
			t.Errorf("fetch took %v, want at most twice initialPieceTimeout", took)
		}
	})
}

func TestFetchOfDamagedValue(t *testing.T) {
	inBubble(t, func(t *testing.T, n *peertest.Net) {
		a := addSource(n, "a")
		ref, err := a.Put(incompressible(100))
		if err != nil {
			t.Fatal(err)
		}
		a.byRef[ref][50] ^= 1
		if _, err := Fetch(t.Context(), n.VM("c"), []string{"a"}, ref); !errors.Is(err, ErrDamaged) {
			t.Errorf("got error %v, want ErrDamaged", err)
		}
	})
}

// Guards against a Store that grows with each version of a value.
func TestStoreIsBounded(t *testing.T) {
	s := NewStore()
	var refs []Ref
	for i := range maxStoredValues + 3 {
		ref, err := s.Put(incompressible(i + 1))
		if err != nil {
			t.Fatal(err)
		}
		refs = append(refs, ref)
	}
	for i, ref := range refs {
		if want := i >= 3; s.Holds(ref) != want {
			t.Errorf("Store holds value %d: %v, want %v", i, !want, want)
		}
	}
}
