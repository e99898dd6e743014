// Package streamversion records which service and software version began each stream.
//
// Engines of several versions may serve one service at the same time, and what two versions
// write does not fit together. A stream may go on only at the version that sent its first
// event. The caller may ask any VM for the rest, after the one that carried the stream is
// gone, and only its first attempt can be named then.
//
// A record is made once the first event has arrived, when the version cannot change any more.
// Any copy of it is therefore right, and copies need no order. Table is pure; Store keeps a
// Table in a folder.
//
// Records also tell how many streams with one content have begun. A caller that does not name
// its stream can be told from others only if there is one.
package streamversion

import (
	"crypto/sha256"
	"encoding/binary"
	"time"
)

// Bounds of a Table.
const (
	// maxRecords bounds the memory of a Table to some 30 MB.
	maxRecords = 400_000
	// maxOrigins bounds the number of different origins.
	maxOrigins = 1 << 16
	// sweepInterval is how often expired records are removed.
	sweepInterval = 5 * time.Second
)

// MaxAttemptBytes is the largest length of an attempt's id that is recorded.
const MaxAttemptBytes = 256

// Key identifies a stream by its workspace and the attempt that brought its first event.
type Key [16]byte

// KeyOf returns the key of a stream.
func KeyOf(workspace, attempt string) Key {
	data := binary.AppendUvarint(nil, uint64(len(workspace)))
	data = append(append(data, workspace...), attempt...)
	sum := sha256.Sum256(data)
	return Key(sum[:len(Key{})])
}

// Origin is the service and the software version that began a stream.
type Origin struct {
	Service string `cbor:"1,keyasint"`
	Version string `cbor:"2,keyasint"` // empty: the version without a name
}

// noService differs from the origin of any stream: an ambiguous record is written as a pair with
// it.
var noService = Origin{Service: "\x00"}

// Record states the origin of a stream for a limited time.
type Record struct {
	Key    Key
	Origin Origin
	TTL    time.Duration // until the caller's last attempt has ended
	// Content is a hash that requests with equal content share; 0: not stated.
	Content uint32
}

// Finding is the result of a lookup.
type Finding uint8

// Findings.
const (
	Unknown   Finding = iota
	Found             // the origin is recorded
	Ambiguous         // the attempt is recorded with several origins
)

// entry is a record in a Table.
type entry struct {
	expires   time.Duration // since Table.epoch
	content   uint32
	origin    uint16 // index in Table.origins
	ambiguous bool
}

// Table holds records until they expire. It is not safe for concurrent use.
type Table struct {
	epoch   time.Time
	entries map[Key]entry
	origins []Origin
	indexes map[Origin]uint16
	streams map[uint32]uint32 // records by content
	sweptAt time.Time
}

// NewTable returns an empty Table.
func NewTable(now time.Time) *Table {
	return &Table{epoch: now, entries: map[Key]entry{}, indexes: map[Origin]uint16{}, streams: map[uint32]uint32{}, sweptAt: now}
}

// Len returns the number of records.
func (t *Table) Len() int { return len(t.entries) }

// Put adds a record, or extends the life of an equal one. It returns false if the table is
// full.
func (t *Table) Put(r *Record, now time.Time) bool {
	t.sweep(now)
	index, ok := t.indexOf(r.Origin)
	if !ok {
		return false
	}
	e, known := t.live(r.Key, now)
	switch {
	case !known && len(t.entries) >= maxRecords:
		return false
	case !known:
		t.remove(r.Key) // it may have expired
		e = entry{origin: index}
	case e.origin != index:
		e.ambiguous = true
	}
	if e.content == 0 && r.Content != 0 {
		e.content = r.Content
		t.streams[r.Content]++
	}
	e.expires = max(e.expires, now.Add(r.TTL).Sub(t.epoch))
	t.entries[r.Key] = e
	return true
}

func (t *Table) indexOf(o Origin) (uint16, bool) {
	if index, ok := t.indexes[o]; ok {
		return index, true
	}
	if len(t.origins) >= maxOrigins {
		return 0, false
	}
	index := uint16(len(t.origins))
	t.origins, t.indexes[o] = append(t.origins, o), index
	return index, true
}

func (t *Table) live(k Key, now time.Time) (entry, bool) {
	e, ok := t.entries[k]
	return e, ok && now.Sub(t.epoch) < e.expires
}

// Find returns the origin of a stream.
func (t *Table) Find(k Key, now time.Time) (Origin, Finding) {
	e, ok := t.live(k, now)
	switch {
	case !ok:
		return Origin{}, Unknown
	case e.ambiguous:
		return Origin{}, Ambiguous
	}
	return t.origins[e.origin], Found
}

// Streams returns how many streams with a content are recorded, including some that have just
// expired.
func (t *Table) Streams(content uint32) int { return int(t.streams[content]) }

// remove removes the record with a key, if there is one.
func (t *Table) remove(k Key) {
	e, ok := t.entries[k]
	if !ok {
		return
	}
	delete(t.entries, k)
	if e.content == 0 {
		return
	}
	if t.streams[e.content]--; t.streams[e.content] == 0 {
		delete(t.streams, e.content)
	}
}

// sweep removes expired records from time to time, and with the last record the origins.
func (t *Table) sweep(now time.Time) {
	if now.Sub(t.sweptAt) < sweepInterval {
		return
	}
	t.sweptAt = now
	for k, e := range t.entries {
		if now.Sub(t.epoch) >= e.expires {
			t.remove(k)
		}
	}
	if len(t.entries) == 0 {
		t.origins, t.indexes = nil, map[Origin]uint16{}
	}
}

// all returns the records with their remaining lives. An ambiguous record is returned twice,
// with different origins.
func (t *Table) all(now time.Time) []Record {
	out := make([]Record, 0, len(t.entries))
	for k, e := range t.entries {
		ttl := e.expires - now.Sub(t.epoch)
		if ttl <= 0 {
			continue
		}
		out = append(out, Record{Key: k, Origin: t.origins[e.origin], TTL: ttl, Content: e.content})
		if e.ambiguous {
			out = append(out, Record{Key: k, Origin: noService, TTL: ttl, Content: e.content})
		}
	}
	return out
}
