package call_test

import (
	"bytes"
	"fmt"
	"testing"
	"time"

	"github.com/amaranthshelf/amaranthshelf/internal/call"
)

const startMS = int64(1_800_000_000_000)

type group struct {
	t            *testing.T
	stateMachine *call.StateMachine
	now          int64
}

func newGroup(t *testing.T, l call.Limits) *group {
	return &group{t, call.NewStateMachine(l), startMS}
}

func (g *group) claim(workspace, key, claimant string) call.Reply {
	return g.stateMachine.Execute(g.now, &call.Command{Claim: &call.Claim{
		Ref: call.Ref{Workspace: workspace, Service: "dispatch", Key: key}, Claimant: claimant,
	}})
}

func (g *group) finish(key, claimant string, s call.State, a *call.Answer) call.Reply {
	return g.stateMachine.Execute(g.now, &call.Command{Finish: &call.Finish{
		Ref: call.Ref{Workspace: "coop", Service: "dispatch", Key: key}, Claimant: claimant, State: s, Answer: a,
	}})
}

// pass advances the time in steps, as the control group's other commands do.
func (g *group) pass(d time.Duration) {
	for end := g.now + d.Milliseconds(); g.now < end; {
		g.now = min(end, g.now+50_000)
		g.stateMachine.Execute(g.now, &call.Command{Lookup: &call.Lookup{}})
	}
}

func (g *group) want(what string, r call.Reply, v call.Verdict, s call.State) {
	g.t.Helper()
	if r.Verdict != v || r.State != s {
		g.t.Fatalf("%s: got verdict %d and state %d, want %d and %d", what, r.Verdict, r.State, v, s)
	}
}

// A late resend of a booking must never run a second time. While the answer is
// kept, the caller gets it; afterwards the key is refused, also after a restart
// from a snapshot.
func TestLateResendIsRefusedNotRun(t *testing.T) {
	l := call.DefaultLimits()
	g := newGroup(t, l)
	g.want("claim", g.claim("coop", "k", "vm1"), call.Permitted, call.Granted)
	g.want("finish", g.finish("k", "vm1", call.Done, &call.Answer{Status: 201}), call.Claimed, call.Done)
	g.pass(l.ClaimRetention - time.Minute)
	g.want("kept", g.claim("coop", "k", "vm2"), call.Claimed, call.Done)
	g.pass(2 * time.Minute)
	snapshot, err := g.stateMachine.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	g.stateMachine = call.NewStateMachine(l)
	if err := g.stateMachine.Restore(snapshot); err != nil {
		t.Fatal(err)
	}
	g.want("expired", g.claim("coop", "k", "vm2"), call.KeyExpired, 0)
	g.want("another workspace", g.claim("society", "k", "vm2"), call.Permitted, call.Granted)
	g.pass(l.KeyRetention - l.ClaimRetention - 2*time.Minute)
	g.want("a day later", g.claim("coop", "k", "vm3"), call.KeyExpired, 0)
	again, err := g.stateMachine.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	g.stateMachine = call.NewStateMachine(l)
	if err := g.stateMachine.Restore(again); err != nil {
		t.Fatal(err)
	}
	third, _ := g.stateMachine.Snapshot()
	if !bytes.Equal(again, third) {
		t.Error("the snapshot of a restored state machine differs from the one that it was restored from")
	}
}

// A UUIDv7 key that has expired from the used keys must still be refused: its own
// time is too old by then. A key from a clock far ahead must be refused at once,
// because its time would still be accepted after the key has expired.
func TestExpiredUUIDv7KeyStaysRefused(t *testing.T) {
	l := call.DefaultLimits()
	g := newGroup(t, l)
	stamped := func(ms int64) string {
		h := fmt.Sprintf("%012x", ms)
		return h[:8] + "-" + h[8:] + "-7abc-8def-0123456789ab"
	}
	key := stamped(startMS + 60_000)
	g.want("claim", g.claim("coop", key, "vm1"), call.Permitted, call.Granted)
	for range 4 {
		g.pass(11 * time.Hour)
		g.want("late resend", g.claim("coop", key, "vm2"), call.KeyExpired, 0)
	}
	g.want("from the future", g.claim("coop", stamped(g.now+3_600_000), "vm1"), call.KeyInFuture, 0)
}

// The wall clock of a new leader is two days ahead. This must not expire the used
// keys at once: a resend must be refused or answered and must not run.
func TestClockJumpExpiresNoKey(t *testing.T) {
	g := newGroup(t, call.DefaultLimits())
	g.claim("coop", "k", "vm1")
	g.now += (48 * time.Hour).Milliseconds()
	g.want("resend", g.claim("coop", "k", "vm2"), call.Claimed, call.Granted)
}

// A sealed claim must never change. A claimant that resumes late gets the sealed
// outcome and must not be permitted to dispatch again.
func TestSealedClaimIsFinal(t *testing.T) {
	l := call.DefaultLimits()
	g := newGroup(t, l)
	ref := call.Ref{Workspace: "coop", Service: "dispatch", Key: "k"}
	g.claim("coop", "k", "vm1")
	seal := func(gone bool) call.Reply {
		return g.stateMachine.Execute(g.now, &call.Command{Seal: &call.Seal{Ref: ref, Claimant: "vm1", ClaimantGone: gone}})
	}
	g.want("too early", seal(false), call.Claimed, call.Granted)
	g.want("own claim again", g.claim("coop", "k", "vm1"), call.Claimed, call.Granted)
	g.now += l.SealAfter.Milliseconds()
	g.want("seal", seal(false), call.Claimed, call.Unknown)
	renew := g.stateMachine.Execute(g.now, &call.Command{Renew: &call.Renew{Ref: ref, Claimant: "vm1", Attempt: 1}})
	g.want("renew", renew, call.Claimed, call.Unknown)
	g.want("late finish", g.finish("k", "vm1", call.Done, &call.Answer{Status: 201}), call.Claimed, call.Unknown)
	g.want("late not-run", g.finish("k", "vm1", call.NotRun, nil), call.Claimed, call.Unknown)
}

// A busy workspace uses up its share of each limit. Only its new claims may be
// refused: other workspaces must still get claims, and kept answers must stay
// complete.
func TestFullRefusesNewClaimsOnly(t *testing.T) {
	base := call.DefaultLimits()
	for name, limit := range map[string]func(*call.Limits){
		"claims": func(l *call.Limits) { l.MaxClaims = 8 },
		"bytes":  func(l *call.Limits) { l.MaxTotalBytes = 8 * l.MaxAnswerBytes },
		"keys":   func(l *call.Limits) { l.MaxKeys = 8 },
	} {
		l := base
		limit(&l)
		g := newGroup(t, l)
		for i := range 4 {
			key := fmt.Sprint("k", i)
			g.want(name, g.claim("coop", key, "vm1"), call.Permitted, call.Granted)
			g.finish(key, "vm1", call.Done, &call.Answer{Status: 201, Body: make([]byte, l.MaxAnswerBytes)})
		}
		g.want(name+" full", g.claim("coop", "k9", "vm1"), call.Full, 0)
		g.want(name+" other workspace", g.claim("society", "k9", "vm1"), call.Permitted, call.Granted)
		r := g.claim("coop", "k0", "vm2")
		if r.State != call.Done || len(r.Answer.Body) != l.MaxAnswerBytes {
			t.Errorf("%s: got %+v, want the complete answer", name, r)
		}
		g.pass(l.KeyRetention + 2*time.Hour)
		g.want(name+" room again", g.claim("coop", "k9", "vm1"), call.Permitted, call.Granted)
	}
}

func TestIdempotencyRules(t *testing.T) {
	var rules []call.IdempotencyRule
	for _, s := range []string{"POST /search* idempotent", "PUT /counter once"} {
		m, err := call.ParseIdempotencyRule(s)
		if err != nil {
			t.Fatal(err)
		}
		rules = append(rules, m)
	}
	for _, c := range []struct {
		method, path string
		want         bool
	}{
		{"GET", "/jobs", true},
		{"DELETE", "/jobs/1", true},
		{"PATCH", "/jobs/1", false},
		{"POST", "/jobs", false},
		{"POST", "/search/parts", true},
		{"PUT", "/counter", false},
		{"PUT", "/counter/2", true},
		{"CONNECT", "/jobs", false},
	} {
		if got := call.Idempotent(rules, c.method, c.path); got != c.want {
			t.Errorf("%s %s: got idempotent %v, want the opposite", c.method, c.path, got)
		}
	}
	for _, s := range []string{"", "POST /x", "post /x once", "POST x once", "POST /x twice"} {
		if _, err := call.ParseIdempotencyRule(s); err == nil {
			t.Errorf("%q was accepted, want an error", s)
		}
	}
}
