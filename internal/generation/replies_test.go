package generation_test

import (
	"testing"

	"github.com/amaranthshelf/amaranthshelf/internal/generation"
)

// Three of the five VMs of an old keeper set died one after another and were
// replaced in the list. A caller without tokens must be served once the current
// set has promised. A caller with tokens must not, because the journal may exist
// only on the dead VMs.
func TestOldSetsOfDeadVMsDoNotStopNewRequests(t *testing.T) {
	present := []generation.KeeperID{{VM: "a"}, {VM: "b"}, {VM: "f"}, {VM: "g"}, {VM: "h"}}
	old := []generation.KeeperID{{VM: "a"}, {VM: "b"}, {VM: "c"}, {VM: "d"}, {VM: "e"}}
	list := func(dead ...string) generation.Membership {
		m := generation.Membership{Version: 9}
		for _, vm := range []string{"a", "b", "c", "d", "e", "f", "g", "h"} {
			c := generation.Candidate{VM: vm}
			for _, d := range dead {
				c.Dead = c.Dead || d == vm
			}
			m.Candidates = append(m.Candidates, c)
		}
		return m
	}
	for _, tc := range []struct {
		name     string
		noTokens bool
		migrated bool
		newest   generation.Membership
		want     bool
	}{
		{"new request, dead by the list", true, false, list("c", "d", "e"), true},
		{"new request, not yet known dead, set long superseded", true, true, list(), true},
		{"new request, not yet known dead, set just superseded", true, false, list(), false},
		{"new request, two of five dead", true, false, list("c", "d"), false},
		{"caller with tokens, dead by the list", false, false, list("c", "d", "e"), false},
		{"caller with tokens, set long superseded", false, true, list("c", "d", "e"), false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			r := generation.NewReplies([]generation.KeeperSet{
				{Keepers: present, NewestVersion: 9}, {Keepers: old, NewestVersion: 5, Migrated: tc.migrated},
			}, tc.newest)
			r.CallerHasNoTokens = tc.noTokens
			for _, k := range present {
				r.Add(k, generation.PromiseReply{OK: true})
			}
			if got := r.Ready(); got != tc.want {
				t.Errorf("got ready %v, want %v", got, tc.want)
			}
		})
	}
}
