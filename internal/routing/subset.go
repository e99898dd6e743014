package routing

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// SubsetSize is how many backend servers of one pool a router works with. All
// 330 routers polling all 710 engines would cost each 320 KB/s against a budget
// of 11 KB/s; 24 leave room for two choices, ejections and a lost zone, and each
// engine still sees some eleven routers. Today's 36 and 24 engines: 36 is split,
// 24 is whole.
const SubsetSize = 24

// nearShare is the part of a subset taken from the router's own zone; the rest
// is spread over the others, so that a lost zone leaves every router engines.
const nearShare = 0.5

// Subset returns the backend servers that a router uses of those listed. The
// order by rendezvous hash of router and server keeps most of each subset when
// the lists change, and gives different routers different subsets.
func Subset(router, zone string, specs []Spec) []Spec {
	pools := map[string][]Spec{}
	for _, s := range specs {
		for _, p := range s.Pools {
			pools[p] = append(pools[p], s)
		}
	}
	chosen := map[string]bool{}
	for _, list := range pools {
		for _, s := range subsetOf(router, zone, list) {
			chosen[s.Name] = true
		}
	}
	var out []Spec
	for _, s := range specs {
		if chosen[s.Name] {
			out = append(out, s)
		}
	}
	return out
}

func subsetOf(router, zone string, list []Spec) []Spec {
	if len(list) <= SubsetSize {
		return list
	}
	list = slices.Clone(list)
	score := func(s Spec) uint64 { return xxhash.Sum64String(router + "\x00" + s.Name) }
	slices.SortFunc(list, func(a, b Spec) int {
		return cmp.Or(cmp.Compare(score(b), score(a)), cmp.Compare(a.Name, b.Name))
	})
	near := slices.DeleteFunc(slices.Clone(list), func(s Spec) bool { return s.Zone != zone })
	far := slices.DeleteFunc(slices.Clone(list), func(s Spec) bool { return s.Zone == zone })
	want := min(len(near), max(int(nearShare*SubsetSize), SubsetSize-len(far)))
	out := slices.Clone(near[:want])
	return append(out, far[:min(len(far), SubsetSize-want)]...)
}
