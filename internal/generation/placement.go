package generation

import (
	"cmp"
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Replication factors of a journal. Five keepers tolerate the simultaneous loss of any
// two VMs, or of a zone. With fewer than five VMs a journal has three keepers, and with
// fewer than three VMs it has one.
const (
	MaxKeepers           = 5
	MinReplicatedKeepers = 3
)

// KeeperID identifies a keeper: a VM in one incarnation. After a restart the same
// VM is a different keeper, because it has lost its promises. An empty
// incarnation matches any; only a list that never changes may use it.
type KeeperID struct {
	VM          string
	Incarnation string
}

// Candidate is a VM that may keep journals. A VM that is leaving gets no new
// journals, but the ones that it holds still count.
type Candidate struct {
	VM          string
	Zone        string
	Incarnation string
	Leaving     bool
	Dead        bool // it may come back with its journals
}

func (c Candidate) id() KeeperID { return KeeperID{c.VM, c.Incarnation} }

// Membership is one committed version of the list of VMs. A VM that is missing
// from it has lost its memory or has permanently stopped keeping journals.
//
// Migrated is set once this version was superseded so long ago that every live
// owner has moved its journals to a newer one.
type Membership struct {
	Version    uint64
	Candidates []Candidate
	Migrated   bool
}

// Has reports whether the list contains this keeper.
func (m *Membership) Has(k KeeperID) bool {
	return slices.ContainsFunc(m.Candidates, func(c Candidate) bool { return c.id() == k })
}

func (m *Membership) dead(k KeeperID) bool {
	return slices.ContainsFunc(m.Candidates, func(c Candidate) bool { return c.Dead && c.id() == k })
}

// KeeperSet is the set of keepers that a journal has by one or more versions of
// the list. NewestVersion is the last of these versions.
type KeeperSet struct {
	Keepers       []KeeperID
	NewestVersion uint64
	Migrated      bool // Membership.Migrated of that version
}

// Majority returns the smallest number of keepers that shares at least one keeper
// with every other such majority.
func (g *KeeperSet) Majority() int { return len(g.Keepers)/2 + 1 }

// KeeperSets returns the distinct keeper sets of a journal over the versions in
// views, which are ordered newest first. The first set is the current one.
func KeeperSets(id RequestID, views []Membership) []KeeperSet {
	var out []KeeperSet
	for _, v := range views {
		keepers := Place(id, v.Candidates)
		same := func(g KeeperSet) bool { return SameKeepers(g.Keepers, keepers) }
		if !slices.ContainsFunc(out, same) {
			out = append(out, KeeperSet{Keepers: keepers, NewestVersion: v.Version, Migrated: v.Migrated})
		}
	}
	return out
}

// SameKeepers reports whether two sets are equal, in any order.
func SameKeepers(a, b []KeeperID) bool {
	if len(a) != len(b) {
		return false
	}
	for _, k := range a {
		if !slices.Contains(b, k) {
			return false
		}
	}
	return true
}

// KeeperCount returns the number of keepers that a journal has among n VMs.
func KeeperCount(n int) int {
	switch {
	case n >= MaxKeepers:
		return MaxKeepers
	case n >= MinReplicatedKeepers:
		return MinReplicatedKeepers
	default:
		return 1
	}
}

// Place returns the keepers of a journal: the VMs with the highest rendezvous
// hashes, such that no zone holds a majority if there are enough zones. Without
// that bound the loss of one zone could destroy a journal's majority.
func Place(id RequestID, vms []Candidate) []KeeperID {
	staying := vms
	if slices.ContainsFunc(vms, func(c Candidate) bool { return c.Leaving }) {
		staying = slices.DeleteFunc(slices.Clone(vms), func(c Candidate) bool { return c.Leaving })
	}
	if len(staying) == 0 {
		staying = vms
	}
	n := KeeperCount(len(staying))
	ranked := rank(id, staying)
	chosen := bestByZone(ranked, n)
	if len(chosen) < n {
		chosen = fill(chosen, ranked, n)
	}
	out := make([]KeeperID, 0, n)
	for _, r := range chosen {
		out = append(out, r.id())
	}
	return out
}

type ranked struct {
	*Candidate
	score uint64
}

func compareRank(a, b ranked) int {
	return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.VM, b.VM))
}

// rank excludes the incarnation from the score, because a restart must not move
// journals.
func rank(id RequestID, vms []Candidate) []ranked {
	var mixed [16]byte
	binary.LittleEndian.PutUint64(mixed[:8], xxhash.Sum64String(id.String()))
	out := make([]ranked, 0, len(vms))
	for i := range vms {
		binary.LittleEndian.PutUint64(mixed[8:], xxhash.Sum64String(vms[i].VM))
		out = append(out, ranked{&vms[i], xxhash.Sum64(mixed[:])})
	}
	return out
}

// bestByZone returns the n best candidates, best first, with at most (n-1)/2 of
// each zone. It sorts only these: with 330 VMs and 16 retained versions, sorting
// all candidates for each request would add noticeable latency.
func bestByZone(all []ranked, n int) []ranked {
	perZone := max(1, (n-1)/2)
	zones := map[string][]ranked{}
	for _, r := range all {
		zone := zones[r.Zone]
		at, _ := slices.BinarySearchFunc(zone, r, compareRank)
		if at == perZone {
			continue
		}
		if len(zone) == perZone {
			zone = zone[:perZone-1]
		}
		zones[r.Zone] = slices.Insert(zone, at, r)
	}
	var out []ranked
	for _, zone := range zones {
		out = append(out, zone...)
	}
	slices.SortFunc(out, compareRank)
	return out[:min(n, len(out))]
}

// fill adds the best remaining candidates, regardless of their zone.
func fill(chosen, all []ranked, n int) []ranked {
	slices.SortFunc(all, compareRank)
	for _, r := range all {
		if len(chosen) == n {
			break
		}
		if !slices.Contains(chosen, r) {
			chosen = append(chosen, r)
		}
	}
	return chosen
}
