package upstream

import (
	"slices"
	"strings"
)

// The load pattern. Ten thousand backend servers are listed, and a VM with a few requests a
// second uses some dozens of them within a minute. With an object for each listed server, the
// memory and the work for each list of hundreds of VMs would grow with the servers of the
// entire deployment. Therefore a VM holds the rows once, shared with its replica of the list,
// and an object only for the servers that it uses.

// domain is a failure domain: the servers of one service and version in one zone. Servers of
// different versions are told apart because those of one version all end when a roll-out is
// completed, and the others must stay in use.
type domain struct{ service, zone, version string }

func (b *Backend) domain() domain { return domain{b.Service, b.Zone, b.Version} }

// listIndex is a list of backend servers with its indexes. It does not change.
type listIndex struct {
	rows        []Backend          // sorted by id
	byService   map[string][]int32 // positions in rows, ascending
	domainSizes map[domain]int
	versions    map[string]map[string]int // servers that are not draining, by service and version
}

// newListIndex returns the index of rows, which must not change afterwards. Of rows with the
// same id the first one counts.
func newListIndex(rows []Backend) listIndex {
	x := listIndex{rows: rows, byService: map[string][]int32{}, domainSizes: map[domain]int{}, versions: map[string]map[string]int{}}
	if !slices.IsSortedFunc(rows, CompareID) {
		x.rows = slices.Clone(rows)
		slices.SortStableFunc(x.rows, CompareID)
	}
	for i := range x.rows {
		row := &x.rows[i]
		if i > 0 && row.ID == x.rows[i-1].ID {
			continue
		}
		x.byService[row.Service] = append(x.byService[row.Service], int32(i))
		x.domainSizes[row.domain()]++
		x.countVersion(row)
	}
	return x
}

func (x *listIndex) countVersion(row *Backend) {
	if row.Draining {
		return
	}
	if x.versions[row.Service] == nil {
		x.versions[row.Service] = map[string]int{}
	}
	x.versions[row.Service][row.Version]++
}

// CompareID orders rows by id.
func CompareID(a, b Backend) int { return strings.Compare(a.ID, b.ID) }

// holds reports whether the index was built of these very rows.
func (x *listIndex) holds(rows []Backend) bool { return sameRows(rows, x.rows) }

func sameRows(a, b []Backend) bool {
	return len(a) > 0 && len(a) == len(b) && &a[0] == &b[0]
}

// lookup returns the row with an id, or nil.
func (x *listIndex) lookup(id string) *Backend {
	i, ok := slices.BinarySearchFunc(x.rows, id, func(b Backend, id string) int { return strings.Compare(b.ID, id) })
	if !ok {
		return nil
	}
	return &x.rows[i]
}

// changesTo returns how many servers of next are not in x, and the ids of those that are only
// in x.
func (x *listIndex) changesTo(next *listIndex) (added int, gone []string) {
	i, k := 0, 0
	for i < len(x.rows) || k < len(next.rows) {
		switch {
		case k == len(next.rows) || i < len(x.rows) && x.rows[i].ID < next.rows[k].ID:
			gone = append(gone, x.rows[i].ID)
			i++
		case i == len(x.rows) || next.rows[k].ID < x.rows[i].ID:
			added++
			k++
		default:
			if !x.rows[i].sameServer(&next.rows[k]) {
				gone = append(gone, x.rows[i].ID)
				added++
			}
			i++
			k++
		}
	}
	return added, gone
}

// sameServer reports whether two rows with the same id are of the same server. A server that
// has started again may keep its id.
func (b *Backend) sameServer(o *Backend) bool {
	bothBorn := b.BornMS != 0 && o.BornMS != 0 // a VM of a former release leaves it out
	return b.Address == o.Address && b.Service == o.Service && b.Version == o.Version && (!bothBorn || b.BornMS == o.BornMS)
}
