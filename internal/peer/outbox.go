package peer

import (
	"errors"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/amaranthshelf/amaranthshelf/internal/codec"
)

// The load pattern. A frame of megabytes leaves on a link that takes seconds for it: a
// journal is installed, a value of another kind has grown. Heartbeats to that VM stand
// behind it, and their leader is taken for lost.
//
// So a large frame leaves in fragments, and whatever else waits leaves between them.

const (
	// PieceBytes is how much of a large value should travel at once: a link of 10 Mbit/s
	// carries it in some tens of milliseconds.
	PieceBytes = 32 << 10
	// fragmentBytes is the largest frame that leaves whole.
	fragmentBytes = PieceBytes
	// socketBytes bounds what the kernel takes in advance: bytes there can no longer be
	// overtaken.
	socketBytes = 128 << 10
)

// outbox holds what waits to leave on a connection. Any goroutine may put; one takes.
type outbox struct {
	lanes [laneCount]chan []byte
	rest  []byte // of a large frame that is leaving; of the taker alone
}

func newOutbox() *outbox {
	o := &outbox{}
	for i := range o.lanes {
		o.lanes[i] = make(chan []byte, queueFrames)
	}
	return o
}

// put adds an encoded frame; false: there is no room.
func (o *outbox) put(kind Kind, data []byte) bool {
	lane := laneOf(kind)
	if len(data) > fragmentBytes {
		lane = laneLarge
	}
	select {
	case o.lanes[lane] <- data:
		return true
	default:
		return false
	}
}

// closed is always ready to receive from.
var closed = func() chan struct{} {
	c := make(chan struct{})
	close(c)
	return c
}()

// next waits for what is to leave next: a control frame before all others, then token
// frames and fragments by turns. nil data stands for a ping. ok is false once done is
// closed.
func (o *outbox) next(ping <-chan time.Time, done <-chan struct{}) (data []byte, ok bool, err error) {
	select {
	case data := <-o.lanes[LaneControl]:
		return data, true, nil
	default:
	}
	large, more := o.lanes[laneLarge], (chan struct{})(nil)
	if len(o.rest) > 0 {
		large, more = nil, closed
	}
	select {
	case data := <-o.lanes[LaneControl]:
		return data, true, nil
	case data := <-o.lanes[LaneTokens]:
		return data, true, nil
	case o.rest = <-large:
	case <-more:
	case <-ping:
		return nil, true, nil
	case <-done:
		return nil, false, nil
	}
	data, err = o.fragment()
	return data, err == nil, err
}

// fragment takes the next fragment of the large frame that is leaving.
func (o *outbox) fragment() ([]byte, error) {
	n := min(fragmentBytes, len(o.rest))
	f := fragment{Data: o.rest[:n], More: n < len(o.rest)}
	o.rest = o.rest[n:]
	data, err := codec.Marshal(&f)
	if err != nil {
		return nil, err
	}
	return codec.Marshal(&frame{Kind: kindFragment, Body: data})
}

// fragment is the body of a frame that carries a part of a large one.
type fragment struct {
	Data []byte `cbor:"1,keyasint"`
	More bool   `cbor:"2,keyasint,omitempty"`
}

var errFragments = errors.New("peer: fragments of more than a frame may have")

// inbox joins the fragments that come on a connection. One goroutine uses it.
type inbox struct{ data []byte }

// take takes a fragment's body, and returns the large frame once it is whole.
func (i *inbox) take(body cbor.RawMessage) (f frame, whole bool, err error) {
	var part fragment
	if err := codec.Unmarshal(body, &part); err != nil {
		return f, false, err
	}
	if len(i.data)+len(part.Data) > maxFrameBytes {
		return f, false, errFragments
	}
	i.data = append(i.data, part.Data...)
	if part.More {
		return f, false, nil
	}
	data := i.data
	i.data = nil
	return f, true, codec.Unmarshal(data, &f)
}
