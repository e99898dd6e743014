package standin

import (
	"container/list"
	"time"

	"github.com/amaranthshelf/amaranthshelf/internal/engine"
	"github.com/amaranthshelf/amaranthshelf/internal/generation"
)

// prefixCache is an engine's prompt prefix cache: blocks of engine.CacheBlock
// tokens, least recently used out first.
type prefixCache struct {
	limit  int // blocks
	order  *list.List
	blocks map[uint64]*list.Element
	events []timedEvent
	seq    uint64
}

type timedEvent struct {
	at time.Time
	engine.CacheEvent
}

func newPrefixCache(limitTokens int) *prefixCache {
	return &prefixCache{limit: limitTokens / engine.CacheBlockTokens, order: list.New(), blocks: map[uint64]*list.Element{}}
}

// blockDigests returns the digest of each whole block's prefix.
func blockDigests(tokens []int32) []uint64 {
	var out []uint64
	var d uint64
	for i, t := range tokens {
		d = generation.PrefixDigest(d, t)
		if (i+1)%engine.CacheBlockTokens == 0 {
			out = append(out, d)
		}
	}
	return out
}

// use returns how many of the tokens were cached and caches the rest.
func (c *prefixCache) use(tokens []int32) int {
	cached, broken := 0, false
	for _, d := range blockDigests(tokens) {
		if e, ok := c.blocks[d]; ok {
			c.order.MoveToFront(e)
			if !broken {
				cached += engine.CacheBlockTokens
			}
			continue
		}
		broken = true
		c.add(d)
	}
	return cached
}

func (c *prefixCache) add(d uint64) {
	if c.limit == 0 {
		return
	}
	for c.order.Len() >= c.limit {
		last := c.order.Back()
		gone := c.order.Remove(last).(uint64)
		delete(c.blocks, gone)
		c.log("evict", gone)
	}
	c.blocks[d] = c.order.PushFront(d)
	c.log("add", d)
}

func (c *prefixCache) log(op string, d uint64) {
	c.seq++
	c.events = append(c.events, timedEvent{time.Now(), engine.CacheEvent{Seq: c.seq, Op: op, Prefix: d}})
	if over := len(c.events) - maxCacheEvents; over > 0 {
		c.events = c.events[over:]
	}
}

func (c *prefixCache) tokens() int { return c.order.Len() * engine.CacheBlockTokens }
