// Package bulk transfers large values between VMs. A VM that holds a value announces a
// small reference to it. A VM that lacks the value fetches it once, from one VM at a time.
//
// The load pattern. A list of several megabytes changes, and hundreds of VMs on 10 Mbit/s
// links follow it. If each reply contained the list, a VM that asks a second source because
// the first is late would receive the list twice, over a link that is already full. Both
// copies would come too late, and it would ask again. Small replies may safely be requested
// from several VMs. The value itself is transferred in pieces, each requested after the
// previous one has arrived. The transfer adapts to the capacity of the link, its timeout
// applies to one piece, and the received pieces are kept when another VM must be asked for
// the rest.
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
	// initialPieceTimeout is the first timeout of a piece. It doubles with each round over
	// the sources, which lets a piece arrive over a slower link as well.
	initialPieceTimeout = 400 * time.Millisecond
	maxPieceTimeout     = 2 * time.Second
	// maxRounds is the number of rounds over the sources without a new piece after which
	// a fetch fails.
	maxRounds = 3
	// maxValueBytes bounds a value, both packed and unpacked.
	maxValueBytes = 32 << 20
	// inlineBytes is the largest value that a reply contains itself. Five replies of this
	// size occupy a 10 Mbit/s link for a few tens of milliseconds.
	inlineBytes = 8 << 10
	// maxStoredValues is how many values a Store holds: several versions in quick
	// succession, for VMs that lag behind by different numbers of versions.
	maxStoredValues = 16
)

// Errors returned by Fetch.
var (
	ErrGone        = errors.New("bulk: no source holds the value any more")
	ErrUnreachable = errors.New("bulk: no source answers")
	ErrDamaged     = errors.New("bulk: value does not match its reference")
)

// Ref names a value by its content. Equal values have equal references on every VM.
type Ref struct {
	Sum  uint64 `cbor:"1,keyasint"` // of the packed bytes
	Size int    `cbor:"2,keyasint"` // of the packed bytes
}

// Value is a value as contained in a reply: the data of a small one, the reference of a
// large one. A VM may ask several others at once, and its link must not carry a large value
// from each.
type Value struct {
	Data []byte `cbor:"1,keyasint,omitempty"`
	Ref  Ref    `cbor:"2,keyasint"` // Size 0: Data is the value
}

// Bytes returns how many bytes the transfer of the value takes, by its reference or in a
// reply.
func (v *Value) Bytes() int { return max(len(v.Data), v.Ref.Size) }

// Get returns the value itself. It fetches a large one from the sources, with the errors of
// Fetch.
func (v *Value) Get(ctx context.Context, t peer.Transport, sources []string) ([]byte, error) {
	if v.Ref.Size == 0 {
		return v.Data, nil
	}
	return Fetch(ctx, t, sources, v.Ref)
}

type pieceRequest struct {
	Ref    Ref `cbor:"1,keyasint"`
	Offset int `cbor:"2,keyasint,omitempty"`
}

// piece is a part of a packed value; empty: the source does not hold the value.
type piece struct {
	Data []byte `cbor:"1,keyasint,omitempty"`
}

// Store holds values for other VMs to fetch. Safe for concurrent use.
type Store struct {
	mu    sync.Mutex
	byRef map[Ref][]byte
	order []Ref // oldest first
}

// NewStore returns an empty Store.
func NewStore() *Store { return &Store{byRef: map[Ref][]byte{}} }

// Put packs and stores a value and returns its reference. A full Store drops its oldest
// value.
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
	if len(s.order) == maxStoredValues {
		delete(s.byRef, s.order[0])
		s.order = s.order[1:]
	}
	s.byRef[ref] = packed
	s.order = append(s.order, ref)
	return ref, nil
}

// Offer returns the Value for replies, and stores a large one to be fetched.
func (s *Store) Offer(data []byte) (Value, error) {
	if len(data) <= inlineBytes {
		return Value{Data: data}, nil
	}
	ref, err := s.Put(data)
	return Value{Ref: ref}, err
}

// StillOffers reports whether the content of a Value from an earlier Offer is still
// available.
func (s *Store) StillOffers(v Value) bool { return v.Ref.Size == 0 || s.Holds(v.Ref) }

// Holds reports whether the Store holds a value.
func (s *Store) Holds(ref Ref) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, ok := s.byRef[ref]
	return ok
}

// Serve is the peer.Handler of peer.KindPiece. It replies with one piece of a value, or with
// an empty piece if the Store does not hold the value.
func (s *Store) Serve(_ context.Context, _ string, body []byte) (any, error) {
	var q pieceRequest
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

// Fetch returns the unpacked value with a reference. It asks the first source, and the next
// one for the remaining pieces if a source does not answer in time or does not hold the
// value.
func Fetch(ctx context.Context, t peer.Transport, sources []string, ref Ref) ([]byte, error) {
	if ref.Size <= 0 || ref.Size > maxValueBytes || len(sources) == 0 {
		return nil, fmt.Errorf("bulk: cannot fetch a value of %d bytes from %d sources", ref.Size, len(sources))
	}
	f := fetch{t: t, sources: sources, ref: ref, packed: make([]byte, 0, ref.Size), timeout: initialPieceTimeout}
	for len(f.packed) < ref.Size {
		if err := f.next(ctx); err != nil {
			return nil, fmt.Errorf("%w: received %d of %d bytes", err, len(f.packed), ref.Size)
		}
	}
	if xxhash.Sum64(f.packed) != ref.Sum {
		return nil, ErrDamaged
	}
	return codec.Unpack(f.packed, maxValueBytes)
}

// fetch is the state of one call of Fetch.
type fetch struct {
	t       peer.Transport
	sources []string
	ref     Ref
	packed  []byte
	source  int           // index of the current source
	timeout time.Duration // of a piece; never reduced, because a slow link stays slow
}

// next fetches the next piece from the current source or the ones after it.
func (f *fetch) next(ctx context.Context) error {
	for range maxRounds {
		lacksValue := false
		for range f.sources {
			data, err := f.ask(ctx)
			if len(data) > 0 {
				f.packed = append(f.packed, data...)
				return nil
			}
			if ctx.Err() != nil {
				return ctx.Err()
			}
			lacksValue = lacksValue || err == nil
			f.source = (f.source + 1) % len(f.sources)
		}
		if lacksValue {
			return ErrGone
		}
		f.timeout = min(2*f.timeout, maxPieceTimeout)
	}
	return ErrUnreachable
}

// ask requests a piece from the current source. An empty piece without an error means that
// the source does not hold the value.
func (f *fetch) ask(ctx context.Context) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, f.timeout)
	defer cancel()
	var p piece
	err := f.t.Call(ctx, f.sources[f.source], peer.KindPiece, pieceRequest{f.ref, len(f.packed)}, &p)
	if err == nil && len(f.packed)+len(p.Data) > f.ref.Size {
		return nil, ErrDamaged
	}
	return p.Data, err
}
