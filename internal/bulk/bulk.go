// Package bulk carries large values between VMs: whoever has one tells its reference,
// which is small, and whoever lacks it fetches it once, from one VM at a time.
//
// The load pattern. A list of megabytes changes, and hundreds of VMs on links of
// 10 Mbit/s follow it. If each answer to a question held the list, a VM that asks a
// second one because the first is late would get it twice, over a link that is full
// already; both come too late, and it asks again. Small answers may race. The value
// itself travels in pieces, each asked for when the one before is there: the transfer
// takes no more of a link than it gets, its time limit is one piece's, and what has come
// stays when another VM must be asked for the rest.
package bulk

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/amaranthshelf/amaranthshelf/internal/codec"
	"github.com/amaranthshelf/amaranthshelf/internal/peer"
)

const (
	pieceBytes = peer.PieceBytes
	// pieceTimeout is the first limit for a piece. It doubles with each round over the
	// sources, so that a link which is slower than that gets the piece all the same.
	pieceTimeout    = 400 * time.Millisecond
	maxPieceTimeout = 2 * time.Second
	// maxRounds over the sources without a new piece end a fetch.
	maxRounds = 3
	// maxValueBytes bounds a value, packed or not.
	maxValueBytes = 32 << 20
	// inlineBytes is the largest value that stands in an answer itself: five answers of
	// that size take a link of 10 Mbit/s some tens of milliseconds.
	inlineBytes = 8 << 10
	// maxHeld is how many values a Store holds: those of some versions in quick
	// succession, for VMs that are behind by different ones.
	maxHeld = 16
)

// Errors of Fetch.
var (
	ErrGone        = errors.New("bulk: no source holds the value any more")
	ErrUnreachable = errors.New("bulk: no source answers")
	ErrDamaged     = errors.New("bulk: value differs from its reference")
)

// Ref names a value by its content. Equal values have equal references on every VM.
type Ref struct {
	Sum  uint64 `cbor:"1,keyasint"` // of the packed bytes
	Size int    `cbor:"2,keyasint"` // of the packed bytes
}

// Value is a value as an answer tells it: a small one itself, a large one by its
// reference. Several VMs may be asked at once, and the asker's link must not carry a large
// value from each.
type Value struct {
	Data []byte `cbor:"1,keyasint,omitempty"`
	Ref  Ref    `cbor:"2,keyasint"` // Size 0: the value is Data
}

// Bytes is how many bytes a link carries for the value.
func (v *Value) Bytes() int { return max(len(v.Data), v.Ref.Size) }

// Get returns the value itself, a large one from the sources as Fetch does.
func (v *Value) Get(ctx context.Context, t peer.Transport, sources []string) ([]byte, error) {
	if v.Ref.Size == 0 {
		return v.Data, nil
	}
	return Fetch(ctx, t, sources, v.Ref)
}

type request struct {
	Ref    Ref `cbor:"1,keyasint"`
	Offset int `cbor:"2,keyasint,omitempty"`
}

// piece is a part of a packed value; empty: the value is not here.
type piece struct {
	Data []byte `cbor:"1,keyasint,omitempty"`
}

// Store holds values that others fetch. Safe for concurrent use.
type Store struct {
	mu    sync.Mutex
	byRef map[Ref][]byte
	order []Ref // oldest first
}

// NewStore returns an empty Store.
func NewStore() *Store { return &Store{byRef: map[Ref][]byte{}} }

// Put packs and holds a value, in place of the oldest one where there are many.
func (s *Store) Put(value []byte) (Ref, error) {
	packed, err := codec.Pack(value)
	if err != nil {
		return Ref{}, err
	}
	ref := Ref{Sum: xxhash.Sum64(packed), Size: len(packed)}
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.byRef[ref]; ok {
		return ref, nil
	}
	if len(s.order) == maxHeld {
		delete(s.byRef, s.order[0])
		s.order = s.order[1:]
	}
	s.byRef[ref] = packed
	s.order = append(s.order, ref)
	return ref, nil
}

// Offer returns a value as answers tell it; a large one is held to be fetched.
func (s *Store) Offer(data []byte) (Value, error) {
	if len(data) <= inlineBytes {
		return Value{Data: data}, nil
	}
	ref, err := s.Put(data)
	return Value{Ref: ref}, err
}

// Offers reports whether a Value that was told before still leads to its content.
func (s *Store) StillOffers(v Value) bool { return v.Ref.Size == 0 || s.Holds(v.Ref) }

// Holds reports whether a value can be fetched here.
func (s *Store) Holds(ref Ref) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, ok := s.byRef[ref]
	return ok
}

// Serve is the peer.Handler of peer.KindPiece.
func (s *Store) Serve(_ context.Context, _ string, body []byte) (any, error) {
	var q request
	if err := codec.Unmarshal(body, &q); err != nil {
		return nil, err
	}
	s.mu.Lock()
	packed := s.byRef[q.Ref]
	s.mu.Unlock()
	if q.Offset < 0 || q.Offset >= len(packed) {
		return piece{}, nil
	}
	return piece{Data: packed[q.Offset:min(q.Offset+pieceBytes, len(packed))]}, nil
}

// Fetch returns a value. It asks the first source, and the next one for the rest where
// one does not answer in time or does not hold the value.
func Fetch(ctx context.Context, t peer.Transport, sources []string, ref Ref) ([]byte, error) {
	if ref.Size <= 0 || ref.Size > maxValueBytes || len(sources) == 0 {
		return nil, fmt.Errorf("bulk: value of %d bytes from %d sources", ref.Size, len(sources))
	}
	f := fetch{t: t, sources: sources, ref: ref, packed: make([]byte, 0, ref.Size), limit: pieceTimeout}
	for len(f.packed) < ref.Size {
		if err := f.next(ctx); err != nil {
			return nil, fmt.Errorf("%w: %d of %d bytes", err, len(f.packed), ref.Size)
		}
	}
	if xxhash.Sum64(f.packed) != ref.Sum {
		return nil, ErrDamaged
	}
	return codec.Unpack(f.packed, maxValueBytes)
}

// fetch is a value that is being fetched.
type fetch struct {
	t       peer.Transport
	sources []string
	ref     Ref
	packed  []byte
	at      int           // of sources: the one that gave the last piece
	limit   time.Duration // for a piece; it never falls, since a slow link stays slow
}

// next fetches one piece.
func (f *fetch) next(ctx context.Context) error {
	for range maxRounds {
		gone := false
		for range f.sources {
			data, err := f.ask(ctx)
			if len(data) > 0 {
				f.packed = append(f.packed, data...)
				return nil
			}
			if ctx.Err() != nil {
				return ctx.Err()
			}
			gone = gone || err == nil
			f.at = (f.at + 1) % len(f.sources)
		}
		if gone {
			return ErrGone
		}
		f.limit = min(2*f.limit, maxPieceTimeout)
	}
	return ErrUnreachable
}

// ask asks the present source for a piece; none and no error: it lacks the value.
func (f *fetch) ask(ctx context.Context) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, f.limit)
	defer cancel()
	var p piece
	err := f.t.Call(ctx, f.sources[f.at], peer.KindPiece, request{f.ref, len(f.packed)}, &p)
	if err == nil && len(f.packed)+len(p.Data) > f.ref.Size {
		return nil, ErrDamaged
	}
	return p.Data, err
}
