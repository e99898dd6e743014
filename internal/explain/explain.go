// Package explain keeps, in bounded memory, what was decided for each recent
// request and why, for `amaranthshelf explain`.
package explain

import (
	"container/list"
	"slices"
	"sync"
	"time"
)

// Bounds of a Ring: an operator asks about the last minutes, so some thousand
// requests with a few decisions each are enough, in about 4 MB.
const (
	DefaultRequests = 4096
	maxNotes        = 64
)

// What was decided. The words are part of the operators' interface.
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

// Note is one decision.
type Note struct {
	At   time.Time `cbor:"1,keyasint" json:"at"`
	VM   string    `cbor:"2,keyasint" json:"vm"`
	What string    `cbor:"3,keyasint" json:"what"`
	Why  string    `cbor:"4,keyasint" json:"why"`
}

// Key names a request within its workspace.
type Key struct {
	Workspace string `cbor:"1,keyasint"`
	Request   string `cbor:"2,keyasint"`
}

type entry struct {
	key   Key
	notes []Note
}

// Ring keeps the notes of the most recent requests. Safe for concurrent use.
type Ring struct {
	mu    sync.Mutex
	limit int
	order *list.List
	byKey map[Key]*list.Element
}

// NewRing keeps at most limit requests.
func NewRing(limit int) *Ring {
	return &Ring{limit: limit, order: list.New(), byKey: map[Key]*list.Element{}}
}

// Note adds a decision. Beyond maxNotes the first half stays and the newest
// replaces the last, so that the beginning and the end can both be read.
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

// Notes returns the decisions on a request in order.
func (r *Ring) Notes(key Key) []Note {
	r.mu.Lock()
	defer r.mu.Unlock()
	el := r.byKey[key]
	if el == nil {
		return nil
	}
	return slices.Clone(el.Value.(*entry).notes)
}
