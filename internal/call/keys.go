package call

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"maps"
	"slices"
	"strings"
	"time"
)

// keyMemory remembers used keys as 8-byte digests, in one sorted run for each
// hour. It never takes a used key for a new one within its span; two keys with
// one digest (one pair in 2^64) make the later one refused, which is safe.
//
// An arbitrary key cannot be remembered for ever in bounded memory. A UUIDv7
// holds its own time, so that it needs no memory beyond the span: see stamp.
type keyMemory struct {
	span  time.Duration
	hours []hour
	total int
	of    map[string]int // by workspace
}

type hour struct {
	startMS int64
	sorted  []uint64
	recent  map[uint64]struct{} // of the hour that still grows
	of      map[string]int
}

func newKeyMemory(span time.Duration) *keyMemory {
	return &keyMemory{span: span, of: map[string]int{}}
}

func keyDigest(r Ref) uint64 {
	h := sha256.Sum256([]byte(r.Workspace + "\x00" + r.Service + "\x00" + r.Key))
	return binary.BigEndian.Uint64(h[:8])
}

func (m *keyMemory) has(d uint64) bool {
	for i := len(m.hours) - 1; i >= 0; i-- {
		if m.hours[i].has(d) {
			return true
		}
	}
	return false
}

func (h *hour) has(d uint64) bool {
	if _, ok := h.recent[d]; ok {
		return true
	}
	_, ok := slices.BinarySearch(h.sorted, d)
	return ok
}

const hourMS = int64(time.Hour / time.Millisecond)

func (m *keyMemory) add(nowMS int64, workspace string, d uint64) {
	start := nowMS - nowMS%hourMS
	if n := len(m.hours); n == 0 || m.hours[n-1].startMS != start {
		if n > 0 {
			m.hours[n-1].close()
		}
		m.hours = append(m.hours, hour{startMS: start, recent: map[uint64]struct{}{}, of: map[string]int{}})
	}
	h := &m.hours[len(m.hours)-1]
	h.recent[d] = struct{}{}
	h.of[workspace]++
	m.of[workspace]++
	m.total++
}

// close sorts the hour's keys: 8 bytes each from then on.
func (h *hour) close() {
	h.sorted = h.digests()
	h.recent = nil
}

func (h *hour) digests() []uint64 {
	all := slices.AppendSeq(slices.Clone(h.sorted), maps.Keys(h.recent))
	slices.Sort(all)
	return all
}

// expire forgets the hours that ended longer ago than the span.
func (m *keyMemory) expire(nowMS int64) {
	for len(m.hours) > 0 {
		h := &m.hours[0]
		if nowMS-(h.startMS+hourMS) < m.span.Milliseconds() {
			return
		}
		for w, n := range h.of {
			if m.of[w] -= n; m.of[w] == 0 {
				delete(m.of, w)
			}
			m.total -= n
		}
		m.hours = slices.Clone(m.hours[1:])
	}
}

// stamp returns the time within a UUIDv7. Only this form counts as stamped: its
// version digit keeps random keys from being read as a time by chance.
func stamp(key string) (ms int64, ok bool) {
	if len(key) != 36 || key[8] != '-' || key[13] != '-' || key[14] != '7' || key[18] != '-' || key[23] != '-' {
		return 0, false
	}
	raw, err := hex.DecodeString(strings.ReplaceAll(key, "-", ""))
	if err != nil || len(raw) != 16 || raw[8]&0xc0 != 0x80 {
		return 0, false
	}
	return int64(binary.BigEndian.Uint64(append([]byte{0, 0}, raw[:6]...))), true
}
