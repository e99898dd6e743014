package routing

import (
	"github.com/amaranthshelf/amaranthshelf/internal/engine"
	"github.com/amaranthshelf/amaranthshelf/internal/generation"
)

// Bounds of the prefix hints. Two generations of maxHints digests of about 40
// bytes stay under 6 MB per router. The older generation is discarded when the
// newer one is full; prefixes still in use are then learned again.
const (
	maxHints   = 1 << 16
	maxHolders = 4 // per prefix; a hotter prefix is soon cached by most engines

	// BlockTokens is the distance in tokens between the digests that are looked
	// up. Engines publish one every engine.CacheBlockTokens tokens. A cached prefix
	// of fewer than 128 tokens saves less than the cost of 16 generated tokens, and
	// eight times as many digests would cost 10 us per decision instead of 2.
	BlockTokens = 8 * engine.CacheBlockTokens

	// MaxBlocks bounds the digests of one prompt. A prefix match beyond 8,192
	// tokens no longer changes the choice between engines.
	MaxBlocks = 64
)

// BlockDigests returns the digests of a prompt's prefixes, BlockTokens apart and
// at most MaxBlocks of them.
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
	gen    uint16 // generation of the engine's hints; older entries are invalid
}

type holders struct {
	n    int
	list [maxHolders]holder
}

// prefixHints records which engines probably cache which prefixes, from the
// engines' cache events and this router's own placements.
type prefixHints struct {
	young, old map[uint64]holders
}

func newPrefixHints() *prefixHints {
	return &prefixHints{young: make(map[uint64]holders, maxHints), old: make(map[uint64]holders, maxHints)}
}

func (h *prefixHints) get(d uint64) (holders, bool) {
	if v, ok := h.young[d]; ok {
		return v, true
	}
	v, ok := h.old[d]
	return v, ok
}

func (h *prefixHints) add(d uint64, added holder) {
	v, _ := h.get(d)
	slot := -1
	for i := range v.n {
		if v.list[i].engine == added.engine {
			slot = i
		}
	}
	switch {
	case slot >= 0 && v.list[slot] == added:
		if _, ok := h.young[d]; ok {
			return
		}
	case slot >= 0:
		v.list[slot] = added
	case v.n < maxHolders:
		v.list[v.n] = added
		v.n++
	default:
		copy(v.list[:], v.list[1:])
		v.list[maxHolders-1] = added
	}
	if len(h.young) >= maxHints {
		h.young, h.old = h.old, h.young
		clear(h.young)
	}
	h.young[d] = v
}

func (h *prefixHints) remove(d uint64, engine int) {
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

// learn records that a prompt was sent to an engine, which will cache it. The
// first firstNew blocks were a cache hit and are recorded already.
func (h *prefixHints) learn(engine int, gen uint16, blocks []uint64, firstNew int) {
	for _, d := range blocks[firstNew:] {
		h.add(d, holder{uint16(engine), gen})
	}
}

func (h *prefixHints) holds(engine int, gen uint16, d uint64) bool {
	v, _ := h.get(d)
	for i := range v.n {
		if v.list[i] == (holder{uint16(engine), gen}) {
			return true
		}
	}
	return false
}

// cachedTokens returns how many tokens of a prompt an engine has cached. It uses
// binary search, since an engine that caches a prefix nearly always caches the
// shorter ones too.
func (h *prefixHints) cachedTokens(e int, gen uint16, blocks []uint64) int {
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

// longestPrefix returns the holders of the longest prefix that any engine has
// cached, and its length in tokens.
func (h *prefixHints) longestPrefix(blocks []uint64, engines []*server) (holders, int) {
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
		if engines[v.list[i].engine].hintsGen == v.list[i].gen {
			return true
		}
	}
	return false
}

// ApplyCacheEvents applies a page of an engine's cache events that follow
// CacheSeq. A gap in the sequence numbers may hide evictions. All hints for the
// engine are then invalidated and rebuilt from the events after the gap.
func (t *Table) ApplyCacheEvents(i int, page *engine.CacheEvents) {
	s := t.engines[i]
	if page.Next < s.cacheSeq {
		t.invalidateHints(s) // the engine has restarted
		s.cacheSeq = 0
	}
	for _, ev := range page.Events {
		if ev.Seq <= s.cacheSeq {
			continue
		}
		if ev.Seq != s.cacheSeq+1 && s.cacheSeq != 0 {
			t.invalidateHints(s)
		}
		s.cacheSeq = ev.Seq
		if ev.Op == "evict" {
			t.hints.remove(ev.Prefix, i)
		} else {
			t.hints.add(ev.Prefix, holder{uint16(i), s.hintsGen})
		}
	}
	if page.Next > s.cacheSeq {
		if s.cacheSeq != 0 {
			t.invalidateHints(s) // the newest events are missing
		}
		s.cacheSeq = page.Next
	}
}

// CacheSeq returns the sequence number of the last cache event seen from a backend
// server; the next page is requested after it.
func (t *Table) CacheSeq(i int) uint64 { return t.engines[i].cacheSeq }

func (t *Table) invalidateHints(s *server) { s.hintsGen++ }
