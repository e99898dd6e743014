package node_test

import (
	"errors"
	"testing"
	"time"

	"github.com/amaranthshelf/amaranthshelf/internal/client"
	"github.com/amaranthshelf/amaranthshelf/internal/result"
)

// The workspace has tokens for one request in this window. Its first request is
// answered, and charged once though it is sent again, also to another VM. The
// next is refused, not run, and told when to come back; once the operator has
// raised the allowance and the change is in force, it is answered.
func TestAllowanceIsChargedOnceAndNotExceeded(t *testing.T) {
	s := start(t)
	operators := client.NewOperator([]string{s.Nodes[0].OperatorAddr()}, "", "test")
	setTokens := func(tokens int64) {
		row, err := operators.Allowance(t.Context(), "p")
		if err != nil {
			t.Fatal(err)
		}
		row.TokensPerWindow = tokens
		if _, err := operators.Do(t.Context(), client.Change{List: "allowances", Name: "p", Row: row.Allowance, IfMatch: row.Version, Wait: true}); err != nil {
			t.Fatal(err)
		}
	}
	setTokens(100)
	caller := client.New(s.Addresses()[:1], testKey)
	body := client.Completion{Model: "m", Prompt: "unit 9 cold", MaxTokens: 60}
	first, err := caller.Complete(t.Context(), "r1", body, nil)
	if err != nil {
		t.Fatal(err)
	}
	for _, addr := range s.Addresses() {
		again, err := client.New([]string{addr}, testKey).Complete(t.Context(), "r1", body, nil)
		if err != nil || again.Text != first.Text {
			t.Errorf("resend to %s: %v", addr, err)
		}
	}
	_, err = caller.Complete(t.Context(), "r2", body, nil)
	var coded *result.Error
	if !errors.As(err, &coded) || coded.Code != result.TokensExhausted || coded.Ran != result.RanNo || coded.RetryAfter <= 0 {
		t.Fatalf("beyond the allowance: %v", err)
	}
	setTokens(200)
	if _, err := caller.Complete(t.Context(), "r2", body, nil); err != nil {
		t.Errorf("after the allowance was raised: %v", err)
	}
	// The router reports what was used within a second.
	used := 2 * int64(len(body.Prompt)+body.MaxTokens)
	ticker := time.NewTicker(50 * time.Millisecond)
	defer ticker.Stop()
	for range 100 {
		row, err := operators.Plan(t.Context(), "coop")
		if err != nil {
			t.Fatal(err)
		}
		if row.Use.Spent.Tokens == used && row.Use.Spent.Requests == 2 {
			return
		}
		<-ticker.C
	}
	t.Error("the two requests are not charged as what they used")
}
