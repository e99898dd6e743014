package plan_test

import (
	"bytes"
	"testing"

	"github.com/fxamacker/cbor/v2"

	"github.com/amaranthshelf/amaranthshelf/internal/plan"
)

type ledgerTest struct {
	*testing.T
	book   *plan.Registry
	ledger *plan.Ledger
	broken int
}

func newLedgerTest(t *testing.T, a *plan.Allowance) *ledgerTest {
	l := &ledgerTest{T: t, book: plan.NewRegistry()}
	l.ledger = plan.NewLedger(l.book, func(error) { l.broken++ })
	apply(t, l.book, setAllowance(a, 0))
	apply(t, l.book, setCustomer("hot", a.Plan, 0))
	return l
}

func (l *ledgerTest) sync(nowMS int64, vm string, seq uint64, a plan.AccountSync) (plan.AccountGrant, plan.SyncReply, []byte) {
	l.Helper()
	a.Workspace = "hot"
	data, err := cbor.Marshal(plan.Sync{VM: vm, Incarnation: vm + ".1", Seq: seq, Accounts: []plan.AccountSync{a}})
	if err != nil {
		l.Fatal(err)
	}
	raw := l.ledger.Apply(nowMS, data)
	var r plan.SyncReply
	if err := cbor.Unmarshal(raw, &r); err != nil {
		l.Fatal(err)
	}
	if len(r.Accounts) == 0 {
		return plan.AccountGrant{}, r, raw
	}
	return r.Accounts[0], r, raw
}

// A router's answer is lost, so it resends its message. In between the operator
// lowered the concurrency, and the leader died: its successor has the ledger
// from a snapshot. The repetition must grant nothing more and take nothing back,
// since the first answer may have arrived as well; an older message is refused.
func TestRepeatedMessageGetsItsFirstReply(t *testing.T) {
	l := newLedgerTest(t, allowance("gold", 1000))
	l.sync(1000, "vm1", 1, plan.AccountSync{})
	ask := plan.AccountSync{Need: plan.Amount{Tokens: 100, Requests: 1}, SlotsNeed: 8, SlotsWant: 8}
	first, _, raw := l.sync(1001, "vm1", 2, ask)
	low := allowance("gold", 1000)
	low.Concurrent = 2
	apply(t, l.book, setAllowance(low, 1))
	data, err := l.ledger.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	l.ledger = plan.NewLedger(l.book, func(error) { l.broken++ })
	if err := l.ledger.Restore(data); err != nil {
		t.Fatal(err)
	}
	_, _, again := l.sync(1002, "vm1", 2, ask)
	if !bytes.Equal(again, raw) || first.Slots != 8 || first.Granted.Tokens < 100 {
		t.Errorf("first %+v, repeated %x, want %x", first, again, raw)
	}
	if u := l.ledger.Usage("hot"); u.Slots != 8 || u.Outstanding != first.Granted {
		t.Errorf("the ledger has %+v after the repetition", u)
	}
	if _, r, _ := l.sync(1003, "vm1", 1, plan.AccountSync{}); r.Status != plan.SyncStale {
		t.Errorf("older message: %+v", r)
	}
}

// Tokens are spent when the operator changes the window's length, moves the
// workspace to a plan of another, or removes and re-creates it. None of these
// may refill the allowance within the window.
func TestEditsDoNotRefillAWindow(t *testing.T) {
	for name, edit := range map[string]func(l *ledgerTest){
		"window length": func(l *ledgerTest) {
			a := allowance("gold", 1000)
			a.WindowSeconds = 7
			apply(l, l.book, setAllowance(a, 1))
		},
		"other plan": func(l *ledgerTest) {
			a := allowance("silver", 1000)
			a.WindowSeconds = 30
			apply(l, l.book, setAllowance(a, 0))
			apply(l, l.book, setCustomer("hot", "silver", 2))
		},
		"remove and create": func(l *ledgerTest) {
			apply(l, l.book, plan.Command{Action: plan.RemoveCustomer, Name: "hot", IfMatch: 2})
			l.sync(1500, "vm1", 2, plan.AccountSync{Window: 1})
			apply(l, l.book, setCustomer("hot", "gold", 0))
		},
	} {
		l := newLedgerTest(t, allowance("gold", 1000))
		need := plan.AccountSync{Need: plan.Amount{Tokens: 900, Requests: 1}}
		if g, _, _ := l.sync(1000, "vm1", 1, need); g.Granted.Tokens != 900 {
			t.Fatalf("%s: granted %+v", name, g)
		}
		edit(l)
		g, _, _ := l.sync(1600, "vm2", 1, plan.AccountSync{Need: plan.Amount{Tokens: 900, Requests: 1}})
		if g.Granted.Tokens > 100 || l.broken != 0 {
			t.Errorf("%s: %d tokens granted of 100 left, %d invariants broken", name, g.Granted.Tokens, l.broken)
		}
		g, _, _ = l.sync(70_000, "vm3", 1, need)
		if g.Granted.Tokens != 900 {
			t.Errorf("%s: the next window grants %d", name, g.Granted.Tokens)
		}
	}
}

// A router that reports more than it was granted is refused, counted, and
// changes nothing: others go on.
func TestContradictingReportIsRefused(t *testing.T) {
	l := newLedgerTest(t, allowance("gold", 1000))
	g, _, _ := l.sync(1000, "vm1", 1, plan.AccountSync{Need: plan.Amount{Tokens: 100, Requests: 1}})
	before := l.ledger.Usage("hot")
	for i, bad := range []plan.AccountSync{
		{Window: g.Window, Spent: plan.Amount{Tokens: 60}, Returned: plan.Amount{Tokens: 60}},
		{Window: g.Window, Returned: plan.Amount{Tokens: -1}},
		{Window: g.Window, Spent: plan.Amount{Tokens: 1 << 62}, Returned: plan.Amount{Tokens: 1 << 62}},
	} {
		if _, r, _ := l.sync(1001, "vm1", uint64(i+2), bad); r.Status != plan.SyncRefused || l.broken != i+1 {
			t.Errorf("%+v: %+v, %d counted", bad, r, l.broken)
		}
	}
	if after := l.ledger.Usage("hot"); after != before {
		t.Errorf("refused reports changed %+v to %+v", before, after)
	}
	if g, _, _ := l.sync(1002, "vm2", 1, plan.AccountSync{Need: plan.Amount{Tokens: 100, Requests: 1}}); g.Granted.Tokens < 100 {
		t.Errorf("another VM got %+v", g)
	}
}
