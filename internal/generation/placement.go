package generation

import (
	"cmp"
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Replication factors of a journal (design section 4): five keepers survive any
// two VMs at once, or a zone; a small system keeps three.
const (
	MaxKeepers           = 5
	MinReplicatedKeepers = 3
)

// KeeperID names a keeper: a VM in one incarnation. After a restart the same VM
// is another keeper, because it has forgotten what it promised. An empty
// incarnation stands for any; only a list that never changes may use it.
type KeeperID struct {
	VM          string
	Incarnation string
}

// Candidate is a VM that may keep journals. One that is leaving gets no new
// ones, but what it holds still counts.
type Candidate struct {
	VM          string
	Zone        string
	Incarnation string
	Leaving     bool
	Dead        bool // it may come back with what it holds
}

func (c Candidate) id() KeeperID { return KeeperID{c.VM, c.Incarnation} }

// Membership is one committed version of the list of VMs. A VM that is missing
// from it has lost its memory or has stopped keeping for good.
//
// Settled tells that it was superseded so long ago that every living owner has
// moved its journals away from it.
type Membership struct {
	Version    uint64
	Candidates []Candidate
	Migrated   bool
}

// Has reports whether the list names this keeper.
func (m *Membership) Has(k KeeperID) bool {
	return slices.ContainsFunc(m.Candidates, func(c Candidate) bool { return c.id() == k })
}

func (m *Membership) dead(k KeeperID) bool {
	return slices.ContainsFunc(m.Candidates, func(c Candidate) bool { return c.Dead && c.id() == k })
}

// Group is a set of keepers that a journal has, or had by an older version of
// the list. Newest is the last version that gives this set.
type KeeperSet struct {
	Keepers       []KeeperID
	NewestVersion uint64
	Migrated      bool // as that version
}

// Majority is the number of keepers that any other majority shares one with.
func (g *KeeperSet) Majority() int { return len(g.Keepers)/2 + 1 }

// Groups returns the distinct keeper sets of a journal over the versions,
// newest first. The first is where the journal belongs now.
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

// SameKeepers reports whether two sets are equal, in whatever order.
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

// Keepers returns how many keepers a journal has among n VMs.
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

// Place returns the keepers of a journal: the highest by rendezvous hash, with
// no zone holding a majority where the zones allow it. Without that bound the
// loss of one zone could take a journal's majority with it.
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
	chosen := bestOfZones(ranked, n)
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

func better(a, b ranked) int {
	return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.VM, b.VM))
}

// rank leaves the incarnation out of the score: a restart moves no journal.
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

// bestOfZones returns the n best with at most (n-1)/2 of a zone, best first. It
// sorts only those: at 330 VMs and 16 retained versions, sorting all for each
// request would be felt.
func bestOfZones(all []ranked, n int) []ranked {
	perZone := max(1, (n-1)/2)
	zones := map[string][]ranked{}
	for _, r := range all {
		zone := zones[r.Zone]
		at, _ := slices.BinarySearchFunc(zone, r, better)
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
	slices.SortFunc(out, better)
	return out[:min(n, len(out))]
}

// fill adds the best of those left over, whatever their zone.
func fill(chosen, all []ranked, n int) []ranked {
	slices.SortFunc(all, better)
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
