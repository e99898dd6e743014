package routing

import (
	"github.com/amaranthshelf/amaranthshelf/internal/engine"
	"github.com/amaranthshelf/amaranthshelf/internal/generation"
)

// Bounds of the prefix hints. Two generations of maxHints digests of about 40
// bytes stay under 6 MB a router; the older generation goes when the newer is
// full, so what is still in use is learned again.
const (
	maxHints   = 1 << 16
	maxHolders = 4 // of one prefix: a hotter one is cached anywhere soon

	// BlockTokens is the distance of the digests that are looked at. Engines
	// publish one every engine.CacheBlock tokens; a prefix shorter than 128
	// tokens saves less than 16 generated ones, and eight times as many digests
	// would cost 10 us a decision instead of 2.
	BlockTokens = 8 * engine.CacheBlock

	// MaxBlocks bounds the digests of one prompt: beyond 8,192 tokens the choice
	// between engines is made.
	MaxBlocks = 64
)

// Blocks returns the digests of a prompt's prefixes, BlockTokens apart.
func BlockDigests(r *generation.Request) []uint64 {
	n := min(r.PromptTokens()/BlockTokens, MaxBlocks)
	out := make([]uint64, 0, n)
	var d uint64
	for i := range n * BlockTokens {
		d = generation.PrefixDigest(d, promptToken(r, i))
		if (i+1)%BlockTokens == 0 {
			out = append(out, d)
		}
	}
	return out
}

func promptToken(r *generation.Request, i int) int32 {
	if i < len(r.PromptIDs) {
		return r.PromptIDs[i]
	}
	return int32(r.Prompt[i-len(r.PromptIDs)])
}

type holder struct {
	engine uint16
	gen    uint16 // of the engine's hints; an older one is void
}

type holders struct {
	n    int
	list [maxHolders]holder
}

// hints knows which engines hold which prefixes, as far as their events and the
// own placements tell.
type hints struct {
	young, old map[uint64]holders
}

func newHints() *hints {
	return &hints{young: make(map[uint64]holders, maxHints), old: make(map[uint64]holders, maxHints)}
}

func (h *hints) get(d uint64) (holders, bool) {
	if v, ok := h.young[d]; ok {
		return v, true
	}
	v, ok := h.old[d]
	return v, ok
}

func (h *hints) add(d uint64, new holder) {
	v, _ := h.get(d)
	slot := -1
	for i := range v.n {
		if v.list[i].engine == new.engine {
			slot = i
		}
	}
	switch {
	case slot >= 0 && v.list[slot] == new:
		if _, ok := h.young[d]; ok {
			return
		}
	case slot >= 0:
		v.list[slot] = new
	case v.n < maxHolders:
		v.list[v.n] = new
		v.n++
	default:
		copy(v.list[:], v.list[1:])
		v.list[maxHolders-1] = new
	}
	if len(h.young) >= maxHints {
		h.young, h.old = h.old, h.young
		clear(h.young)
	}
	h.young[d] = v
}

func (h *hints) remove(d uint64, engine int) {
	v, ok := h.get(d)
	if !ok {
		return
	}
	for i := range v.n {
		if int(v.list[i].engine) == engine {
			v.list[i] = v.list[v.n-1]
			v.n--
			break
		}
	}
	delete(h.old, d)
	if v.n == 0 {
		delete(h.young, d)
		return
	}
	h.young[d] = v
}

// learn notes that a prompt was sent to an engine, which will cache it. Blocks
// up to known are known already: the part of a decision that a hit saves.
func (h *hints) learn(engine int, gen uint16, blocks []uint64, known int) {
	for _, d := range blocks[known:] {
		h.add(d, holder{uint16(engine), gen})
	}
}

func (h *hints) holds(engine int, gen uint16, d uint64) bool {
	v, _ := h.get(d)
	for i := range v.n {
		if v.list[i] == (holder{uint16(engine), gen}) {
			return true
		}
	}
	return false
}

// cached returns how many prompt tokens an engine holds. The search is binary:
// an engine that holds a prefix holds the shorter ones, or nearly so.
func (h *hints) cached(e int, gen uint16, blocks []uint64) int {
	low, high := 0, len(blocks)
	for low < high {
		mid := (low + high + 1) / 2
		if h.holds(e, gen, blocks[mid-1]) {
			low = mid
		} else {
			high = mid - 1
		}
	}
	return low * BlockTokens
}

// longest returns the holders of the longest prefix that any engine holds, and
// its tokens.
func (h *hints) longest(blocks []uint64, engines []*server) (holders, int) {
	low, high := 0, len(blocks)
	var best holders
	for low < high {
		mid := (low + high + 1) / 2
		if v, _ := h.get(blocks[mid-1]); v.valid(engines) {
			low, best = mid, v
		} else {
			high = mid - 1
		}
	}
	return best, low * BlockTokens
}

func (v *holders) valid(engines []*server) bool {
	for i := range v.n {
		if engines[v.list[i].engine].cacheGen == v.list[i].gen {
			return true
		}
	}
	return false
}

// CacheEvents takes a page of an engine's cache events, asked for after the
// last one known. A gap in the numbers may hide evictions: all hints of the
// engine are void then, and grow again from the events after it.
func (t *Table) ApplyCacheEvents(i int, page *engine.CacheEvents) {
	s := t.engines[i]
	if page.Next < s.cacheSeq {
		t.voidHints(s) // the engine started anew
		s.cacheSeq = 0
	}
	for _, ev := range page.Events {
		if ev.Seq <= s.cacheSeq {
			continue
		}
		if ev.Seq != s.cacheSeq+1 && s.cacheSeq != 0 {
			t.voidHints(s)
		}
		s.cacheSeq = ev.Seq
		if ev.Op == "evict" {
			t.hints.remove(ev.Prefix, i)
		} else {
			t.hints.add(ev.Prefix, holder{uint16(i), s.cacheGen})
		}
	}
	if page.Next > s.cacheSeq {
		if s.cacheSeq != 0 {
			t.voidHints(s) // the newest events are missing
		}
		s.cacheSeq = page.Next
	}
}

// CacheSeq is the number to ask for cache events after.
func (t *Table) CacheSeq(i int) uint64 { return t.engines[i].cacheSeq }

func (t *Table) voidHints(s *server) { s.cacheGen++ }
