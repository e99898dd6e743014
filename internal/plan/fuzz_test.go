package plan_test

import (
	"testing"

	"github.com/fxamacker/cbor/v2"

	"github.com/amaranthshelf/amaranthshelf/internal/plan"
)

// FuzzApply feeds the aggregates commands that no VM of this version sends: they
// are refused, and never grant more than the allowance.
func FuzzApply(f *testing.F) {
	for _, seed := range []any{
		plan.Sync{VM: "a", Incarnation: "a.1", Seq: 1, Accounts: []plan.AccountSync{{
			Workspace: "hot", Need: plan.Amount{Tokens: 900, Requests: 1}, SlotsNeed: 3,
		}}},
		setCustomer("film", "gold", 0, "k1"),
	} {
		data, err := cbor.Marshal(seed)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		b := plan.NewRegistry()
		apply(t, b, setAllowance(allowance("gold", 1000), 0))
		apply(t, b, setCustomer("hot", "gold", 0, "k"))
		l := plan.NewLedger(b, func(error) {})
		b.Apply(1000, data)
		for now := range int64(3) {
			l.Apply(1000+now, data)
		}
		u := l.Usage("hot")
		if u.Spent.Plus(u.Outstanding).Tokens > 1000 || u.Spent.Plus(u.Outstanding).Requests > 1000 || u.Slots > 10 {
			t.Errorf("granted %+v", u)
		}
	})
}
