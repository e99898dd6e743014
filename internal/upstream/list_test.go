package upstream

import (
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"

	"github.com/amaranthshelf/amaranthshelf/internal/rollout"
)

// largeList returns n rows of one service in five zones, sorted by id.
func largeList(n int) []Backend {
	rows := make([]Backend, 0, n)
	for i := range n {
		rows = append(rows, Backend{ID: fmt.Sprintf("i-%06d", i), Service: "m", Zone: fmt.Sprint("z", i%5), Address: fmt.Sprint("10.0.0.1:", i), Version: "v1", Slots: 12})
	}
	return rows
}

// Guards against VMs whose memory grows with the servers of the entire deployment: each held
// an object for every listed server, although it used a few.
func TestOnlyServersInUseAreRemembered(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := NewFleet(NewPool(), zerolog.Nop())
		rows := largeList(10_000)
		f.Apply(List{Backends: rows, AsOf: time.Now()})
		if n := len(f.servers) + len(f.incarnations); n != 0 {
			t.Errorf("got %d objects after a list, want none", n)
		}
		kept := f.Lookup("i-000001")
		f.MarkStale(kept)
		f.Lookup("i-000002")
		servers, _ := f.Candidates("m", rollout.Versions{}, 1, nil)
		if len(servers) != maxCandidates || len(f.servers) > maxCandidates+2 {
			t.Errorf("got %d candidates and %d objects, want a sample of %d", len(servers), len(f.servers), maxCandidates)
		}
		time.Sleep(2 * idleServerTTL)
		f.Apply(List{Backends: slices.Clone(rows), AsOf: time.Now()})
		if len(f.servers) != 1 || len(f.incarnations) != 1 || f.Lookup("i-000001") != nil {
			t.Errorf("got %d objects once the servers are idle, want only the one whose address another incarnation holds", len(f.servers))
		}
	})
}

// Guards against work for each list that grows with the servers: a VM with a fifth of a core
// receives a changed list every second, and confirmations of the same one more often.
func TestAllocationsOfAList(t *testing.T) {
	changed := func(n int) float64 {
		f := NewFleet(NewPool(), zerolog.Nop())
		lists := [][]Backend{largeList(n), largeList(n)}
		lists[1][n/2].Draining = true
		at := time.Now()
		f.Apply(List{Backends: lists[0], AsOf: at})
		i := 0
		return testing.AllocsPerRun(20, func() {
			i++
			f.Apply(List{Backends: lists[i%2], AsOf: at.Add(time.Duration(i) * time.Second)})
		})
	}
	if few, many := changed(1000), changed(10_000); many > few+20 {
		t.Errorf("got %.0f allocations for a list of 1000 rows and %.0f for one of 10000, want no growth with the rows", few, many)
	}
	f := NewFleet(NewPool(), zerolog.Nop())
	rows, at := largeList(10_000), time.Now()
	f.Apply(List{Backends: rows, AsOf: at})
	if n := testing.AllocsPerRun(20, func() { at = at.Add(time.Second); f.Apply(List{Backends: rows, AsOf: at}) }); n > 1 {
		t.Errorf("got %.0f allocations for the confirmation of a list, want none", n)
	}
}

// Guards against a draw that prefers a part of a service's servers: the others would idle.
func TestSampleIsEven(t *testing.T) {
	const n, size, draws = 100, 10, 4000
	counts := map[string]int{}
	for range draws {
		var rows []*Backend
		for _, row := range largeList(n) {
			rows = append(rows, &row)
		}
		for _, row := range sample(rows, size) {
			counts[row.ID]++
		}
	}
	for id, c := range counts {
		if mean := draws * size / n; c < mean/2 || c > 2*mean {
			t.Errorf("server %s was drawn %d times, want about %d", id, c, mean)
		}
	}
}

func TestListChanges(t *testing.T) {
	list := func(ids ...string) []Backend {
		var rows []Backend
		for _, id := range ids {
			rows = append(rows, Backend{ID: id, Service: "m", Address: "a:" + id})
		}
		return rows
	}
	moved := list("a", "b")
	moved[1].Address = "elsewhere"
	restarted := list("a", "b")
	restarted[1].Version = "v2"
	born := func(ms int64) []Backend {
		rows := list("a", "b")
		rows[1].BornMS = ms
		return rows
	}
	tests := []struct {
		name     string
		from, to []Backend
		added    int
		gone     []string
	}{
		{"first list", nil, list("a", "b"), 2, nil},
		{"unsorted", list("b", "a"), list("a", "b"), 0, nil},
		{"one more", list("a", "c"), list("a", "b", "c"), 1, nil},
		{"all gone", list("a", "b"), nil, 0, []string{"a", "b"}},
		{"replaced", list("a", "b"), list("b", "c"), 1, []string{"a"}},
		{"another address", list("a", "b"), moved, 1, []string{"b"}},
		{"another version", list("a", "b"), restarted, 1, []string{"b"}},
		{"started again", born(1), born(2), 1, []string{"b"}},
		{"start is not stated", born(1), born(0), 0, nil},
	}
	for _, tt := range tests {
		from, to := newListIndex(tt.from), newListIndex(tt.to)
		if added, gone := from.changesTo(&to); added != tt.added || !slices.Equal(gone, tt.gone) {
			t.Errorf("%s: got %d added and %v gone, want %d and %v", tt.name, added, gone, tt.added, tt.gone)
		}
	}
}
