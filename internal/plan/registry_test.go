package plan_test

import (
	"cmp"
	"errors"
	"flag"
	"fmt"
	"os"
	"reflect"
	"slices"
	"strings"
	"testing"

	"github.com/fxamacker/cbor/v2"
	"pgregory.net/rapid"

	"github.com/amaranthshelf/amaranthshelf/internal/plan"
	"github.com/amaranthshelf/amaranthshelf/internal/result"
)

func TestMain(m *testing.M) {
	flag.Parse()
	if err := flag.Set("rapid.seed", cmp.Or(os.Getenv("AMARANTHSHELF_SEED"), "20261202")); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

func allowance(name string, tokens int64) *plan.Allowance {
	return &plan.Allowance{
		Plan: name, Models: []string{"m"}, TokensPerWindow: tokens, RequestsPerWindow: 1000, WindowSeconds: 60,
		Concurrent: 10, Share: 1,
	}
}

func setAllowance(a *plan.Allowance, ifMatch uint64) plan.Command {
	return plan.Command{Action: plan.SetAllowance, Name: a.Plan, Allowance: a, IfMatch: ifMatch, Create: ifMatch == 0}
}

func setCustomer(workspace, planName string, ifMatch uint64, keys ...string) plan.Command {
	c := &plan.Customer{Workspace: workspace, Plan: planName}
	for _, k := range keys {
		c.KeyHashes = append(c.KeyHashes, plan.HashKey(k))
	}
	return plan.Command{Action: plan.SetCustomer, Name: workspace, Customer: c, IfMatch: ifMatch, Create: ifMatch == 0}
}

// apply applies a command in its encoding, as the control group does with a
// committed entry.
func apply(t interface{ Fatal(...any) }, registry *plan.Registry, c plan.Command) plan.Reply {
	data, err := cbor.Marshal(c)
	if err != nil {
		t.Fatal(err)
	}
	var r plan.Reply
	if err := cbor.Unmarshal(registry.Apply(1000, data), &r); err != nil {
		t.Fatal(err)
	}
	return r
}

func restore(t interface{ Fatal(...any) }, registry *plan.Registry) *plan.Registry {
	data, err := registry.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	out := plan.NewRegistry()
	if err := out.Restore(data); err != nil {
		t.Fatal(err)
	}
	return out
}

func TestRefusedCommands(t *testing.T) {
	registry := plan.NewRegistry()
	apply(t, registry, setAllowance(allowance("gold", 100), 0))
	apply(t, registry, setCustomer("coop", "gold", 0, "k1"))
	with := func(change func(a *plan.Allowance)) plan.Command {
		a := allowance("gold", 100)
		change(a)
		return setAllowance(a, 1)
	}
	for name, tc := range map[string]struct {
		c        plan.Command
		want     result.Code
		wantText string
	}{
		"unknown plan":        {setCustomer("film", "silver", 0), result.UnknownPlan, "silver"},
		"key of another":      {setCustomer("film", "gold", 0, "k0", "k1"), result.InvalidPlan, "key_hashes[1]"},
		"key twice":           {setCustomer("film", "gold", 0, "k2", "k2"), result.InvalidPlan, "twice"},
		"bad workspace":       {setCustomer("a/b", "gold", 0), result.InvalidPlan, "a/b"},
		"exists":              {setCustomer("coop", "gold", 0), result.VersionConflict, "version 2"},
		"old version":         {setCustomer("coop", "gold", 1), result.VersionConflict, "version 2"},
		"gone":                {setCustomer("film", "gold", 9), result.VersionConflict, "does not exist"},
		"no version":          {plan.Command{Action: plan.RemoveCustomer, Name: "coop"}, result.VersionRequired, ""},
		"remove absent":       {plan.Command{Action: plan.RemoveCustomer, Name: "x", IfMatch: 1}, result.NotFound, "x"},
		"plan in use":         {plan.Command{Action: plan.RemoveAllowance, Name: "gold", IfMatch: 1}, result.PlanInUse, "1 workspaces"},
		"row of another name": {plan.Command{Action: plan.SetCustomer, Name: "x", Customer: &plan.Customer{Workspace: "y"}}, result.MalformedBody, ""},
		"no tokens":           {with(func(a *plan.Allowance) { a.TokensPerWindow = 0 }), result.InvalidPlan, "tokens_per_window"},
		"negative requests":   {with(func(a *plan.Allowance) { a.RequestsPerWindow = -1 }), result.InvalidPlan, "requests_per_window"},
		"long window":         {with(func(a *plan.Allowance) { a.WindowSeconds = 1 << 40 }), result.InvalidPlan, "window_seconds"},
		"no concurrency":      {with(func(a *plan.Allowance) { a.Concurrent = 0 }), result.InvalidPlan, "concurrent"},
		"no share":            {with(func(a *plan.Allowance) { a.Share = 0 }), result.InvalidPlan, "share"},
		"empty model":         {with(func(a *plan.Allowance) { a.Models = []string{""} }), result.InvalidPlan, "models[0]"},
	} {
		r := apply(t, registry, tc.c)
		if r.Code != tc.want || !strings.Contains(r.Message, tc.wantText) {
			t.Errorf("%s: got %d %q, want %d with %q", name, r.Code, r.Message, tc.want, tc.wantText)
		}
	}
	if registry.Version() != 2 {
		t.Errorf("the lists have version %d after refused commands, want 2", registry.Version())
	}
}

// Two operators read version 1 and both write. One change is accepted; the other
// operator must get a conflict with the current version. The reply to the accepted
// change is lost, the leader dies, and the operator sends the command again to the
// new leader, which restored its state from a snapshot. The operator must get the
// first reply, not a conflict with the operator's own change.
func TestRacingOperatorsAndResendAfterLeaderChange(t *testing.T) {
	registry := plan.NewRegistry()
	apply(t, registry, setAllowance(allowance("gold", 100), 0))
	first, second := setAllowance(allowance("gold", 200), 1), setAllowance(allowance("gold", 300), 1)
	first.IdempotencyKey, first.Who, second.IdempotencyKey = "edit-1", "ann", "edit-2"
	won := apply(t, registry, first)
	lost := apply(t, registry, second)
	if won.Code != 0 || won.Version != 2 || lost.Code != result.VersionConflict || lost.Version != 2 {
		t.Fatalf("accepted change got %+v, want version 2; the other got %+v, want a conflict with version 2", won, lost)
	}
	registry = restore(t, registry)
	apply(t, registry, setAllowance(allowance("gold", 400), 2))
	first.Who = "ann's other terminal"
	if again := apply(t, registry, first); again != won {
		t.Errorf("repeated command got %+v, want its first reply %+v", again, won)
	}
	if again := apply(t, registry, second); again != lost {
		t.Errorf("repeated conflicting command got %+v, want its first reply %+v", again, lost)
	}
	other := setAllowance(allowance("gold", 500), 3)
	other.IdempotencyKey = "edit-1"
	if r := apply(t, registry, other); r.Code != result.KeyReused {
		t.Errorf("another command with the same Idempotency-Key got %+v, want KeyReused", r)
	}
	if row, _ := registry.Allowance("gold"); row.TokensPerWindow != 400 || row.Version != 3 {
		t.Errorf("row is %+v, want 400 tokens per window in version 3", row)
	}
	h := registry.History(false, "gold")
	if len(h) != 3 || h[1].Who != "ann" || !slices.Equal(h[1].Diff, []string{"tokens_per_window: 100 -> 200"}) {
		t.Errorf("history is %+v, want 3 changes, the second one by ann from 100 to 200 tokens", h)
	}
}

// Operators edit at random while VMs apply deltas that arrive late, twice or after a
// gap, and the group restarts from snapshots. A version must never decrease, also
// when a row is removed and created again. Every VM that has caught up must hold the
// current lists.
func TestRegistryRandomised(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		registry := plan.NewRegistry()
		views := []*plan.View{plan.NewView(), plan.NewView(), plan.NewView()}
		var deltas [][]byte
		highest := map[string]uint64{}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			c := drawCommand(t, registry)
			before := registry.Version()
			r := apply(t, registry, c)
			if r.Code == 0 && r.Version != 0 {
				row := fmt.Sprint(c.Action == plan.SetCustomer, c.Name)
				if r.Version < highest[row] || registry.Version() < before {
					t.Fatalf("the version of row %s decreased from %d to %d", row, highest[row], r.Version)
				}
				highest[row] = r.Version
			}
			v := views[rapid.IntRange(0, len(views)-1).Draw(t, "vm")]
			deltas = append(deltas, registry.Changes(v.Version()))
			applied := v.Version()
			if err := v.Apply(deltas[rapid.IntRange(0, len(deltas)-1).Draw(t, "delivered")]); err != nil && !errors.Is(err, plan.ErrGap) {
				t.Fatal(err)
			}
			if v.Version() < applied {
				t.Fatalf("the VM's lists decreased from version %d to %d", applied, v.Version())
			}
			if rapid.IntRange(0, 9).Draw(t, "restart") == 0 {
				registry = restore(t, registry)
			}
		}
		for _, v := range views {
			if err := v.Apply(registry.Changes(v.Version())); err != nil {
				t.Fatal(err)
			}
			sameLists(t, registry, v)
		}
	})
}

func drawCommand(t *rapid.T, registry *plan.Registry) plan.Command {
	name := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "name")
	row, _ := registry.Allowance(name)
	customer, _ := registry.Customer(name)
	version := func(current uint64) uint64 {
		return current + uint64(rapid.IntRange(0, 5).Draw(t, "off")/5)
	}
	switch rapid.IntRange(0, 4).Draw(t, "action") {
	case 0:
		return plan.Command{Action: plan.RemoveAllowance, Name: name, IfMatch: version(row.Version)}
	case 1:
		return plan.Command{Action: plan.RemoveCustomer, Name: name, IfMatch: version(customer.Version)}
	case 2:
		return setAllowance(allowance(name, rapid.Int64Range(1, 3).Draw(t, "tokens")), version(row.Version))
	}
	key := rapid.SampledFrom([]string{"k1", "k2", "k3"}).Draw(t, "key")
	planName := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "plan")
	return setCustomer(name, planName, version(customer.Version), key)
}

func sameLists(t *rapid.T, registry *plan.Registry, v *plan.View) {
	var customers []plan.Customer
	var allowances []plan.Allowance
	for _, row := range registry.Customers() {
		customers = append(customers, row.Customer)
	}
	for _, row := range registry.Allowances() {
		allowances = append(allowances, row.Allowance)
	}
	if want := plan.NewDirectory(registry.Version(), customers, allowances); !reflect.DeepEqual(v.Directory(), want) {
		t.Fatalf("the VM applies %+v, want the lists %+v", v.Directory(), want)
	}
}
