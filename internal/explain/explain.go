// Package explain records, in bounded memory, the decisions on each recent request and
// their reasons for `amaranthshelf explain`. It also explains and counts requests by the
// logs of the VMs.
package explain

import (
	"container/list"
	"slices"
	"sync"
	"time"
)

// Bounds of a Ring. Operators ask about the last minutes, so a few thousand requests with
// a few decisions each are enough. They take about 4 MB.
const (
	DefaultRequests = 4096
	maxNotes        = 64
)

// Kinds of decisions, the values of Note.What. They are part of the operators' interface.
const (
	Accepted  = "accepted"
	Queued    = "queued"
	Placed    = "placed"
	Suspected = "suspected"
	Resumed   = "resumed"
	Refused   = "refused"
	TakenOver = "taken-over"
	Followed  = "followed"
	Claimed   = "claimed"
	Finished  = "finished"
)

// Note is one decision on a request.
type Note struct {
	At   time.Time `cbor:"1,keyasint" json:"at"`
	VM   string    `cbor:"2,keyasint" json:"vm"`
	What string    `cbor:"3,keyasint" json:"what"`
	Why  string    `cbor:"4,keyasint" json:"why"`
}

// Key identifies a request by its workspace and its id there.
type Key struct {
	Workspace string `cbor:"1,keyasint"`
	Request   string `cbor:"2,keyasint"`
}

type entry struct {
	key   Key
	notes []Note
}

// Ring keeps the notes of the requests with the most recent decisions and evicts the
// least recent ones. It is safe for concurrent use.
type Ring struct {
	mu    sync.Mutex
	limit int
	order *list.List
	byKey map[Key]*list.Element
}

// NewRing returns a Ring of at most limit requests.
func NewRing(limit int) *Ring {
	return &Ring{limit: limit, order: list.New(), byKey: map[Key]*list.Element{}}
}

// Note adds a decision on a request. If the request has maxNotes already, the oldest note
// of the second half is dropped, which keeps both the beginning and the latest decisions.
func (r *Ring) Note(key Key, n Note) {
	r.mu.Lock()
	defer r.mu.Unlock()
	el := r.byKey[key]
	if el == nil {
		el = r.order.PushBack(&entry{key: key})
		r.byKey[key] = el
		r.evict()
	}
	r.order.MoveToBack(el)
	e := el.Value.(*entry)
	if len(e.notes) == maxNotes {
		e.notes = slices.Delete(e.notes, maxNotes/2, maxNotes/2+1)
	}
	e.notes = append(e.notes, n)
}

func (r *Ring) evict() {
	for r.order.Len() > r.limit {
		oldest := r.order.Front()
		delete(r.byKey, oldest.Value.(*entry).key)
		r.order.Remove(oldest)
	}
}

// Notes returns a copy of the decisions on a request in the order in which they were added.
func (r *Ring) Notes(key Key) []Note {
	r.mu.Lock()
	defer r.mu.Unlock()
	el := r.byKey[key]
	if el == nil {
		return nil
	}
	return slices.Clone(el.Value.(*entry).notes)
}
