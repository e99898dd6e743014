package node_test

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/amaranthshelf/amaranthshelf/internal/client"
	"github.com/amaranthshelf/amaranthshelf/internal/control"
)

// Each VM in turn leads the control group or not; one of them is killed. An
// operator's change on another VM is accepted after the change of leader, and in
// force on every VM that is left: none may admit by the old lists.
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
		t.Errorf("in force after %v", took)
	}
	for _, n := range s.Nodes[1:] {
		got, err := client.NewOperator([]string{n.OperatorAddr()}, "", "test").Allowance(t.Context(), "p")
		if err != nil || got.Concurrent != 7 {
			t.Errorf("%s: %+v, %v", n.Self().ID, got, err)
		}
		if _, err := client.New([]string{n.Self().Endpoint}, testKey).Complete(t.Context(), "after-"+n.Self().ID,
			client.Completion{Model: "m", Prompt: "unit 3", MaxTokens: 5}, nil); err != nil {
			t.Errorf("%s admits nothing: %v", n.Self().ID, err)
		}
	}
}

// A control VM is lost for good and its id with it. Until it is removed it counts
// against the majority; then the two that are left decide alone. The operator's
// answer may be lost: the resend finds the same group.
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
			t.Errorf("%s: %v", raw, err)
		}
	}
}
