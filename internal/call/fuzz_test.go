package call_test

import (
	"testing"

	"github.com/amaranthshelf/amaranthshelf/internal/call"
	"github.com/amaranthshelf/amaranthshelf/internal/codec"
)

// Commands come from other VMs and snapshots from disk: whatever the bytes, the
// part neither panics nor loses what it knows of a claim that has ended.
func FuzzPart(f *testing.F) {
	ref := call.Ref{Workspace: "coop", Service: "dispatch", Key: "k"}
	for _, cmd := range []*call.Command{
		{Claim: &call.Claim{Ref: ref, Claimant: "vm2"}},
		{Lookup: &call.Lookup{Ref: ref}},
		{Renew: &call.Renew{Ref: ref, Claimant: "vm1", Attempt: 1}},
		{Seal: &call.Seal{Ref: ref, Claimant: "vm1", ClaimantGone: true}},
		{Finish: &call.Finish{Ref: ref, Claimant: "vm1", State: call.NotRun}},
	} {
		data, err := codec.Marshal(cmd)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		g := newGroup(t, call.DefaultLimits())
		g.claim("coop", "k", "vm1")
		g.finish("k", "vm1", call.Done, &call.Answer{Status: 201})
		g.part.Apply(g.now, data)
		g.want("after any command", g.claim("coop", "k", "vm2"), call.Claimed, call.Done)
		_ = call.NewStateMachine(call.DefaultLimits()).Restore(data)
	})
}
