package plan_test

import (
	"testing"

	"github.com/fxamacker/cbor/v2"

	"github.com/amaranthshelf/amaranthshelf/internal/plan"
)

// FuzzApply applies arbitrary bytes as commands, as a VM of another version might
// send them. The state machines must refuse what is invalid, and never grant more
// than the allowance.
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
		registry := plan.NewRegistry()
		apply(t, registry, setAllowance(allowance("gold", 1000), 0))
		apply(t, registry, setCustomer("hot", "gold", 0, "k"))
		ledger := plan.NewLedger(registry, func(error) {})
		registry.Apply(1000, data)
		for now := range int64(3) {
			ledger.Apply(1000+now, data)
		}
		u := ledger.Usage("hot")
		if u.Spent.Plus(u.Outstanding).Tokens > 1000 || u.Spent.Plus(u.Outstanding).Requests > 1000 || u.Slots > 10 {
			t.Errorf("granted %+v, want at most 1000 tokens, 1000 requests and 10 slots", u)
		}
	})
}
