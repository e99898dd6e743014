package routing

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// SubsetSize is the number of backend servers of one pool that a router uses. If
// all 330 routers polled all 710 engines, each would spend 320 KB/s of a budget of
// 11 KB/s. 24 engines suffice for two choices, ejections and a lost zone, and each
// engine is still used by about eleven routers. A pool of 36 engines is split into
// subsets; a pool of 24 is used completely.
const SubsetSize = 24

// nearShare is the share of a subset that is taken from the router's own zone. The
// rest comes from other zones and leaves every router with engines if a zone is
// lost.
const nearShare = 0.5

// Subset returns those of the listed backend servers that a router uses, in the
// order of specs. Rendezvous hashing of router and server keeps most of each
// subset when the list changes, and gives different routers different subsets.
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
