package cluster

import (
	"fmt"
	"testing"
	"time"
	"unsafe"

	"github.com/cespare/xxhash/v2"

	"github.com/amaranthshelf/amaranthshelf/internal/codec"
	"github.com/amaranthshelf/amaranthshelf/internal/upstream"
)

// Guards against VMs of two builds that compute different digests of the same list: they
// would fetch the whole list again and again, and never accept it.
func TestDigestIsThatOfTheEncodedList(t *testing.T) {
	for _, n := range []int{0, 1, 23, 24, 255, 256, 65_535, 65_536} {
		list := rows(n)
		data, err := codec.Marshal(list)
		if err != nil {
			t.Fatal(err)
		}
		if got, want := digestOf(list), xxhash.Sum64(data); got != want {
			t.Errorf("%d rows: got digest %x, want %x", n, got, want)
		}
	}
}

// Guards against work for each difference that grows with the list: a VM with a fifth of a
// core receives one every second.
func TestAllocationsOfADifference(t *testing.T) {
	allocations := func(n int) float64 {
		replica := NewListReplica(ignoreList)
		replica.Update(rows(n), time.Hour)
		age := time.Hour
		return testing.AllocsPerRun(10, func() {
			age -= time.Second
			current, digest, _, _ := replica.Current()
			changed := current[n/2]
			changed.Draining = !changed.Draining
			d := Difference{Base: digest, Rows: []upstream.Backend{changed}}
			if !replica.Patch(d, digestOf(d.apply(current)), age) {
				t.Error("the difference was not applied")
			}
		})
	}
	if few, many := allocations(1000), allocations(10_000); many > few+10 {
		t.Errorf("got %.0f allocations with 1000 rows and %.0f with 10000, want no growth with the rows", few, many)
	}
}

// Guards against lists that share nothing: each read from the platform decodes all rows
// again, and a control VM keeps the last ones.
func TestListsShareTheirRows(t *testing.T) {
	replica := NewListReplica(ignoreList)
	replica.KeepHistory()
	replica.Update(rows(500), time.Minute)
	first, _, _, _ := replica.Current()
	replica.Update(rows(500), time.Second)
	if again, _, _, _ := replica.Current(); &again[0] != &first[0] {
		t.Error("an equal list replaced the rows, want the former ones")
	}
	if n := len(replica.history); n != 1 {
		t.Errorf("got %d lists in the history, want 1", n)
	}
}

func TestNamesAreShared(t *testing.T) {
	var table nameTable
	decoded := func() []upstream.Backend {
		return []upstream.Backend{{Service: fmt.Sprint("se", "rvice")}, {Service: fmt.Sprint("serv", "ice")}}
	}
	a, b := decoded(), decoded()
	table.share(a)
	table.share(b)
	if unsafe.StringData(a[0].Service) != unsafe.StringData(b[1].Service) {
		t.Error("got two copies of a name, want one")
	}
}
