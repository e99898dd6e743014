package node_test

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/amaranthshelf/amaranthshelf/internal/client"
	"github.com/amaranthshelf/amaranthshelf/internal/control"
)

// Guards against VMs that admit requests by old lists after a control VM was lost. One of
// three control VMs, which may be the leader, is killed. An operator's change must then be
// accepted by another VM and be in force on every remaining VM.
func TestListsChangeAfterOneControlVMDied(t *testing.T) {
	s := start(t)
	operators := client.NewOperator([]string{s.Nodes[1].OperatorAddr(), s.Nodes[2].OperatorAddr()}, "", "test")
	row, err := operators.Allowance(t.Context(), "p")
	if err != nil {
		t.Fatal(err)
	}
	s.Nodes[0].Kill()
	row.Concurrent = 7
	began := time.Now()
	if _, err := operators.Do(t.Context(), client.Change{
		List: "allowances", Name: "p", Row: row.Allowance, IfMatch: row.Version, Wait: true,
	}); err != nil {
		t.Fatal(err)
	}
	if took := time.Since(began); took > 5*time.Second {
		t.Errorf("change in force after %v, want at most 5s", took)
	}
	for _, n := range s.Nodes[1:] {
		got, err := client.NewOperator([]string{n.OperatorAddr()}, "", "test").Allowance(t.Context(), "p")
		if err != nil || got.Concurrent != 7 {
			t.Errorf("%s: got allowance %+v, error %v; want concurrency 7", n.Self().ID, got, err)
		}
		if _, err := client.New([]string{n.Self().Endpoint}, testKey).Complete(t.Context(), "after-"+n.Self().ID,
			client.Completion{Model: "m", Prompt: "unit 3", MaxTokens: 5}, nil); err != nil {
			t.Errorf("%s refused a request: %v", n.Self().ID, err)
		}
	}
}

// Guards against a lost control VM that counts in the quorum forever. It does not come back
// under its id. After an operator removes it, the group must have the two remaining voters.
// The first answer may be lost, so a repeated removal must give the same result.
func TestLostControlVMIsRemoved(t *testing.T) {
	s := start(t)
	operators := client.NewOperator([]string{s.Nodes[1].OperatorAddr(), s.Nodes[2].OperatorAddr()}, "", "test")
	s.Nodes[0].Kill()
	for range 2 {
		raw, err := operators.RemoveControl(t.Context(), s.Nodes[0].Self().ID)
		if err != nil {
			t.Fatal(err)
		}
		var group control.MemberStats
		if err := json.Unmarshal(raw, &group); err != nil || len(group.Voters) != 2 {
			t.Errorf("got group %s, error %v; want 2 voters", raw, err)
		}
	}
}
