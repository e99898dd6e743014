package node_test

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"github.com/amaranthshelf/amaranthshelf/internal/client"
	"github.com/amaranthshelf/amaranthshelf/internal/local"
	"github.com/amaranthshelf/amaranthshelf/internal/node"
	"github.com/amaranthshelf/amaranthshelf/internal/operator"
	"github.com/amaranthshelf/amaranthshelf/internal/result"
	"github.com/amaranthshelf/amaranthshelf/internal/settings"
)

// The workspace has tokens for one request in this window. Its first request is
// answered, and charged once though it is sent again, also to another VM. The
// next is refused, not run, and told when to come back; once the operator has
// raised the allowance and the change is in force, it is answered.
func TestAllowanceIsChargedOnceAndNotExceeded(t *testing.T) {
	s := start(t)
	operators := s.Operator()
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
	explanation, err := operators.Explain(t.Context(), "coop", "r2")
	if err != nil || len(explanation.Notes) != 1 || !strings.Contains(explanation.Notes[0].Why, "2001") {
		t.Errorf("explained as %+v, %v", explanation, err)
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

// A hot workspace calls on all of five VMs at once while the control group's
// leader dies. Every request is answered or refused by the allowance; the tokens
// of those answered stay within it. An operator whose answer was lost with the
// leader resends his change to a VM without the control role, and gets the first
// answer.
func TestAllowanceAndListsSurviveTheLeader(t *testing.T) {
	s := startVMs(t, 5)
	o := s.Operator()
	row, err := o.Allowance(t.Context(), "p")
	if err != nil {
		t.Fatal(err)
	}
	body := client.Completion{Model: "m", Prompt: "unit 9 cold", MaxTokens: 60}
	cost := int64(len(body.Prompt) + body.MaxTokens)
	row.TokensPerWindow = 20 * cost
	change := client.Change{List: "allowances", Name: "p", Row: row.Allowance, IfMatch: row.Version, Key: "edit", Wait: true}
	first, err := o.Do(t.Context(), change)
	if err != nil {
		t.Fatal(err)
	}
	leader := leaderOf(t, s)
	answered, refused := hammer(t, s, body, leader, 40)
	t.Logf("%d answered, %d refused", answered, refused)
	if answered == 0 || refused == 0 || int64(answered)*cost > row.TokensPerWindow {
		t.Errorf("%d answered, %d refused, of 20", answered, refused)
	}
	change.Wait = false
	router := client.NewOperator([]string{s.Nodes[4].OperatorAddr()}, "", "test")
	again, err := router.Do(t.Context(), change)
	if err != nil || again.Version != first.Version || again.ListsVersion != first.ListsVersion {
		t.Errorf("resend got %+v, %v; the first answer was %+v", again, err, first)
	}
	change.Key = "another"
	if _, err := router.Do(t.Context(), change); result.CodeOf(err) != result.VersionConflict {
		t.Errorf("a change that names an old version: %v", err)
	}
	if plans, err := router.Plan(t.Context(), "coop"); err != nil || !plans.Use.Spent.Plus(plans.Use.Outstanding).Within(plans.Use.Limit) {
		t.Errorf("%+v, %v", plans.Use, err)
	}
}

func leaderOf(t *testing.T, s *local.System) int {
	raw, err := s.Operator().Status(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	var status operator.Status
	if err := json.Unmarshal(raw, &status); err != nil {
		t.Fatal(err)
	}
	return slices.IndexFunc(s.Nodes, func(n *node.Node) bool { return n.Self().ID == status.Leader })
}

// hammer calls n times on each VM but the leader, and kills that meanwhile.
func hammer(t *testing.T, s *local.System, body client.Completion, leader, n int) (answered, refused int) {
	var mu sync.Mutex
	var wg sync.WaitGroup
	for i, addr := range s.Addresses() {
		if i == leader {
			continue
		}
		wg.Go(func() {
			for j := range n {
				_, err := client.New([]string{addr}, testKey).Complete(t.Context(), fmt.Sprintf("r-%d-%d", i, j), body, nil)
				mu.Lock()
				switch {
				case err == nil:
					answered++
				case result.From(err).Ran == result.RanNo:
					refused++
				default:
					t.Errorf("neither answered nor refused: %v", err)
				}
				mu.Unlock()
			}
		})
	}
	s.Nodes[leader].Kill()
	wg.Wait()
	return answered, refused
}

// Two of three control VMs die, so the group can confirm nothing any more. The
// other VMs stop admitting once their freshness leases have lapsed, since an
// operator on the far side may have withdrawn the plan: callers get 3004, not
// run. The answer that was running goes on to its end.
func TestQuorumLossStopsAdmission(t *testing.T) {
	const lease = time.Second
	o := options(zerolog.New(zerolog.NewTestWriter(t)))
	o.VMs = 5
	entry := o.Settings
	o.Settings = func(i int, conf *settings.Settings) {
		entry(i, conf)
		conf.FreshnessTTL = lease
		if i >= 3 {
			conf.Self.Roles = []settings.Role{settings.RoleRouter}
		}
	}
	s, err := local.Start(o)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Stop)
	for _, e := range s.Engines {
		e.Slow(8)
	}
	caller := client.New([]string{s.Nodes[4].Self().Endpoint}, testKey)
	lost := make(chan time.Time, 1)
	var once sync.Once
	var wg sync.WaitGroup
	wg.Go(func() {
		defer once.Do(func() { close(lost) })
		body := client.Completion{Model: "m", Prompt: "a long log", MaxTokens: 120}
		answer, err := caller.Complete(t.Context(), "long", body, func(p client.Progress) {
			if p.Index >= 10 {
				once.Do(func() { lost <- time.Now() })
			}
		})
		if err != nil || len(answer.TokenIDs) != 120 || answer.Reconnects != 0 {
			t.Errorf("the running answer: %d tokens, %d reconnects, %v", len(answer.TokenIDs), answer.Reconnects, err)
		}
	})
	began := <-lost
	s.Nodes[0].Kill()
	s.Nodes[1].Kill()
	for i := 0; ; i++ {
		refusal := post(t, s.Nodes[4].Self().Endpoint, fmt.Sprint("new", i))
		after := time.Since(began)
		if refusal.Code == result.NotFresh {
			t.Logf("nothing admitted after %v", after)
			if refusal.Ran != result.RanNo || refusal.RetryAfter <= 0 {
				t.Errorf("refused as %+v", refusal)
			}
			break
		}
		if after > lease+lease/2 {
			t.Fatalf("a new request after %v, lease %v: %+v", after, lease, refusal)
		}
	}
	wg.Wait()
}

// post sends one small request to one VM and returns its refusal; the client
// package would try again by itself.
func post(t *testing.T, addr, key string) (refusal result.Error) {
	body := strings.NewReader(`{"model":"m","prompt":"x","max_tokens":1}`)
	r, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+addr+"/v1/completions", body)
	if err != nil {
		t.Fatal(err)
	}
	r.Header.Set("Authorization", "Bearer "+testKey)
	r.Header.Set("Idempotency-Key", key)
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	if resp.StatusCode == http.StatusOK {
		return refusal
	}
	if err := json.NewDecoder(resp.Body).Decode(&refusal); err != nil {
		t.Fatal(err)
	}
	return refusal
}
