package scheduler

import "math/bits"

// engineSet is a set of engines of a service, by position in service.servers.
type engineSet []uint64

func newEngineSet(n int) engineSet { return make(engineSet, (n+63)/64) }

func (s engineSet) set(pos int, member bool) {
	if member {
		s[pos/64] |= 1 << (pos % 64)
		return
	}
	s[pos/64] &^= 1 << (pos % 64)
}

func (s engineSet) has(pos int) bool { return s[pos/64]>>(pos%64)&1 == 1 }

func (s engineSet) count() int {
	n := 0
	for _, w := range s {
		n += bits.OnesCount64(w)
	}
	return n
}

// next returns the first member at or after a position; -1: there is none.
func (s engineSet) next(pos int) int {
	if pos >= 64*len(s) {
		return -1
	}
	w := s[pos/64] >> (pos % 64) << (pos % 64)
	for i := pos / 64; ; w = s[i] {
		if w != 0 {
			return 64*i + bits.TrailingZeros64(w)
		}
		if i++; i == len(s) {
			return -1
		}
	}
}

// nth returns the member before which there are n others. The set must have more than n.
func (s engineSet) nth(n int) int {
	i := 0
	for c := bits.OnesCount64(s[i]); n >= c; c = bits.OnesCount64(s[i]) {
		n -= c
		i++
	}
	pos := s.next(64 * i)
	for ; n > 0; n-- {
		pos = s.next(pos + 1)
	}
	return pos
}
