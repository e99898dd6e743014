package routedengine

import (
	"hash/fnv"
	"math/rand/v2"
)

// RareLong returns a function for Server.Times by which one request in oneIn, drawn by its id, takes
// times as long as the others.
func RareLong(seed uint64, oneIn, times int) func(id string) int {
	return func(id string) int {
		h := fnv.New64a()
		_, _ = h.Write([]byte(id)) // never fails
		if rand.New(rand.NewPCG(seed, h.Sum64())).IntN(oneIn) == 0 {
			return times
		}
		return 1
	}
}
