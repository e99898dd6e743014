package peer

import (
	"errors"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/amaranthshelf/amaranthshelf/internal/codec"
)

// This file answers overload of a link by large frames. A frame of several megabytes is
// sent over a link that needs seconds for it, because a journal is installed or another
// value has grown. Heartbeats to the same VM wait for the frame, and the VM considers
// their sender lost.
//
// Large frames are therefore sent in fragments, and other frames are sent between them.

const (
	// PieceBytes is the largest part of a large value that should be sent at once. A link of
	// 10 Mbit/s needs some tens of milliseconds for it.
	PieceBytes = 32 << 10
	// maxFragmentBytes is the size of the largest frame that is sent without fragmentation.
	maxFragmentBytes = PieceBytes
	// socketBufferBytes bounds the data that the kernel buffers: a control frame cannot
	// overtake data that has been written to the socket.
	socketBufferBytes = 128 << 10
)

// sendQueue holds the frames that wait to be sent on a connection. Any goroutine may call
// enqueue; only one goroutine may call next.
type sendQueue struct {
	lanes     [laneCount]chan []byte
	remaining []byte // unsent part of the large frame in progress; used only by next
}

func newSendQueue() *sendQueue {
	q := &sendQueue{}
	for i := range q.lanes {
		q.lanes[i] = make(chan []byte, queueFrames)
	}
	return q
}

// enqueue adds an encoded frame. It returns false if the lane of the frame is full.
func (q *sendQueue) enqueue(kind Kind, data []byte) bool {
	lane := laneOf(kind)
	if len(data) > maxFragmentBytes {
		lane = laneLarge
	}
	select {
	case q.lanes[lane] <- data:
		return true
	default:
		return false
	}
}

// alwaysReady is a closed channel, from which a receive never blocks.
var alwaysReady = func() chan struct{} {
	c := make(chan struct{})
	close(c)
	return c
}()

// next waits for the next frame to send and returns it encoded. Control frames come first.
// Among token frames and fragments the choice is random, so neither starves. data is nil
// when a ping is due. ok is false once done is closed.
func (q *sendQueue) next(ping <-chan time.Time, done <-chan struct{}) (data []byte, ok bool, err error) {
	select {
	case data := <-q.lanes[LaneControl]:
		return data, true, nil
	default:
	}
	large, moreFragments := q.lanes[laneLarge], (chan struct{})(nil)
	if len(q.remaining) > 0 {
		large, moreFragments = nil, alwaysReady
	}
	select {
	case data := <-q.lanes[LaneControl]:
		return data, true, nil
	case data := <-q.lanes[LaneTokens]:
		return data, true, nil
	case q.remaining = <-large:
	case <-moreFragments:
	case <-ping:
		return nil, true, nil
	case <-done:
		return nil, false, nil
	}
	data, err = q.nextFragment()
	return data, err == nil, err
}

// nextFragment removes the next fragment from the large frame in progress and returns it as
// an encoded frame.
func (q *sendQueue) nextFragment() ([]byte, error) {
	n := min(maxFragmentBytes, len(q.remaining))
	f := fragment{Data: q.remaining[:n], More: n < len(q.remaining)}
	q.remaining = q.remaining[n:]
	data, err := codec.Marshal(&f)
	if err != nil {
		return nil, err
	}
	return codec.Marshal(&frame{Kind: kindFragment, Body: data})
}

// fragment is the body of a frame of kindFragment: a part of a large encoded frame.
type fragment struct {
	Data []byte `cbor:"1,keyasint"`
	More bool   `cbor:"2,keyasint,omitempty"`
}

var errReassembledTooLarge = errors.New("peer: reassembled frame exceeds the size limit")

// reassembler joins the fragments that arrive on a connection. It is not safe for concurrent
// use.
type reassembler struct{ data []byte }

// add appends the body of a fragment. complete is true if it was the last fragment; f is then
// the reassembled frame.
func (r *reassembler) add(body cbor.RawMessage) (f frame, complete bool, err error) {
	var part fragment
	if err := codec.Unmarshal(body, &part); err != nil {
		return f, false, err
	}
	if len(r.data)+len(part.Data) > maxFrameBytes {
		return f, false, errReassembledTooLarge
	}
	r.data = append(r.data, part.Data...)
	if part.More {
		return f, false, nil
	}
	data := r.data
	r.data = nil
	return f, true, codec.Unmarshal(data, &f)
}
