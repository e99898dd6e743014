package plan_test

import (
	"fmt"
	"testing"

	"github.com/fxamacker/cbor/v2"

	"github.com/amaranthshelf/amaranthshelf/internal/plan"
)

const targetWorkspaces = 6600

func targetBook(b *testing.B) *plan.Registry {
	book := plan.NewRegistry()
	apply(b, book, setAllowance(allowance("gold", 1e12), 0))
	for i := range targetWorkspaces {
		apply(b, book, setCustomer(fmt.Sprint("w", i), "gold", 0, fmt.Sprint("k", i)))
	}
	return book
}

// BenchmarkIndex is most of a VM's work for one change at 6,600 workspaces.
func BenchmarkIndex(b *testing.B) {
	book := targetBook(b)
	view := plan.NewView()
	if err := view.Apply(book.Changes(0)); err != nil {
		b.Fatal(err)
	}
	delta := book.Changes(book.Version() - 1)
	whole := book.Changes(0)
	b.ReportAllocs()
	for b.Loop() {
		view.Directory()
	}
	b.ReportMetric(float64(len(delta)), "delta-bytes")
	b.ReportMetric(float64(len(whole)), "lists-bytes")
}

func BenchmarkLookup(b *testing.B) {
	view := plan.NewView()
	if err := view.Apply(targetBook(b).Changes(0)); err != nil {
		b.Fatal(err)
	}
	d := view.Directory()
	b.ReportAllocs()
	for b.Loop() {
		if _, _, ok := d.Lookup("k77"); !ok {
			b.Fatal("not found")
		}
	}
}

// BenchmarkLedgerSync is the group's work for one message of a router about 20
// workspaces, each of which 8 VMs call.
func BenchmarkLedgerSync(b *testing.B) {
	ledger := plan.NewLedger(targetBook(b), func(err error) { b.Fatal(err) })
	next := func(vm string, seq uint64) []byte {
		s := plan.Sync{VM: vm, Incarnation: vm, Seq: seq}
		for i := range 20 {
			s.Accounts = append(s.Accounts, plan.AccountSync{
				Workspace: fmt.Sprint("w", i), Need: plan.Amount{Tokens: 10, Requests: 1}, SlotsNeed: 1, SlotsKeep: 1,
			})
		}
		data, err := cbor.Marshal(s)
		if err != nil {
			b.Fatal(err)
		}
		return data
	}
	for vm := range 8 {
		ledger.Apply(1000, next(fmt.Sprint("vm", vm), 1))
	}
	b.ReportAllocs()
	seq := uint64(1)
	for b.Loop() {
		b.StopTimer()
		seq++
		data := next("vm0", seq)
		b.StartTimer()
		ledger.Apply(1000, data)
	}
	b.ReportMetric(float64(len(next("vm0", seq))), "message-bytes")
}
