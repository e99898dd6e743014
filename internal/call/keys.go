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

// usedKeys stores used keys as 8-byte digests, in one sorted list for each hour. It
// never treats a used key as a new one within its span. If two keys share a digest
// (one pair in 2^64), the later one is refused, which is safe.
//
// Bounded memory cannot store arbitrary keys forever. A UUIDv7 contains its own
// time and therefore needs no memory beyond the span: see uuidV7Time.
type usedKeys struct {
	span        time.Duration
	hours       []hour
	total       int
	byWorkspace map[string]int // number of keys
}

type hour struct {
	startMS     int64
	sorted      []uint64
	recent      map[uint64]struct{} // unsorted digests of the current hour
	byWorkspace map[string]int
}

func newUsedKeys(span time.Duration) *usedKeys {
	return &usedKeys{span: span, byWorkspace: map[string]int{}}
}

func keyDigest(r Ref) uint64 {
	h := sha256.Sum256([]byte(r.Workspace + "\x00" + r.Service + "\x00" + r.Key))
	return binary.BigEndian.Uint64(h[:8])
}

func (m *usedKeys) has(d uint64) bool {
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

func (m *usedKeys) add(nowMS int64, workspace string, d uint64) {
	start := nowMS - nowMS%hourMS
	if n := len(m.hours); n == 0 || m.hours[n-1].startMS != start {
		if n > 0 {
			m.hours[n-1].close()
		}
		m.hours = append(m.hours, hour{startMS: start, recent: map[uint64]struct{}{}, byWorkspace: map[string]int{}})
	}
	h := &m.hours[len(m.hours)-1]
	h.recent[d] = struct{}{}
	h.byWorkspace[workspace]++
	m.byWorkspace[workspace]++
	m.total++
}

// close sorts the hour's keys, which from then on take 8 bytes each.
func (h *hour) close() {
	h.sorted = h.digests()
	h.recent = nil
}

func (h *hour) digests() []uint64 {
	all := slices.AppendSeq(slices.Clone(h.sorted), maps.Keys(h.recent))
	slices.Sort(all)
	return all
}

// expire removes the hours that ended longer than the span ago.
func (m *usedKeys) expire(nowMS int64) {
	for len(m.hours) > 0 {
		h := &m.hours[0]
		if nowMS-(h.startMS+hourMS) < m.span.Milliseconds() {
			return
		}
		for w, n := range h.byWorkspace {
			if m.byWorkspace[w] -= n; m.byWorkspace[w] == 0 {
				delete(m.byWorkspace, w)
			}
			m.total -= n
		}
		m.hours = slices.Clone(m.hours[1:])
	}
}

// uuidV7Time returns the time in a UUIDv7. Other forms are not accepted: the
// version digit prevents a random key from being read as a time by chance.
func uuidV7Time(key string) (ms int64, ok bool) {
	if len(key) != 36 || key[8] != '-' || key[13] != '-' || key[14] != '7' || key[18] != '-' || key[23] != '-' {
		return 0, false
	}
	raw, err := hex.DecodeString(strings.ReplaceAll(key, "-", ""))
	if err != nil || len(raw) != 16 || raw[8]&0xc0 != 0x80 {
		return 0, false
	}
	return int64(binary.BigEndian.Uint64(append([]byte{0, 0}, raw[:6]...))), true
}
