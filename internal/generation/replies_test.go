package generation_test

import (
	"testing"

	"github.com/amaranthshelf/amaranthshelf/internal/generation"
)

// Five VMs kept a journal's first set; three of them died one after another and
// were replaced in the list. A caller without tokens is served as soon as the
// present set has promised; one that holds tokens is not, since the journal may
// be on the dead VMs alone.
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
		name    string
		fresh   bool
		settled bool
		newest  generation.Membership
		want    bool
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
				{Keepers: present, NewestVersion: 9}, {Keepers: old, NewestVersion: 5, Migrated: tc.settled},
			}, tc.newest)
			r.CallerHasNoTokens = tc.fresh
			for _, k := range present {
				r.Add(k, generation.PromiseReply{OK: true})
			}
			if got := r.Ready(); got != tc.want {
				t.Errorf("ready %v, want %v", got, tc.want)
			}
		})
	}
}
