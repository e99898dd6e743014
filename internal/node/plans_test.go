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

// Guards against requests that are charged twice or beyond the allowance. The workspace has
// tokens for one request in this window. Its first request must be charged once, although
// it is sent again to each VM. The next must be refused as not run with a Retry-After, and
// answered once the operator has raised the allowance.
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
		t.Fatalf("request beyond the allowance got %v, want TokensExhausted with a Retry-After, not run", err)
	}
	explanation, err := operators.Explain(t.Context(), "coop", "r2")
	if err != nil || len(explanation.Notes) != 1 || !strings.Contains(explanation.Notes[0].Why, "2001") {
		t.Errorf("got explanation %+v, error %v; want one note with code 2001", explanation, err)
	}
	setTokens(200)
	if _, err := caller.Complete(t.Context(), "r2", body, nil); err != nil {
		t.Errorf("request failed after the allowance was raised: %v", err)
	}
	// The router reports the usage within a second.
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
	t.Error("the charge for the two requests does not match their usage")
}

// Guards against an allowance that is exceeded, and a change that is applied twice, when the
// control group's leader dies. A busy workspace calls four of five VMs while the leader is
// killed. Every request must be answered or refused, within the allowance. An operator
// sends the same change again, to a VM without the control role, and must get the first
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
	answered, refused := sendWhileLeaderDies(t, s, body, leader, 40)
	t.Logf("%d answered, %d refused", answered, refused)
	if answered == 0 || refused == 0 || int64(answered)*cost > row.TokensPerWindow {
		t.Errorf("%d answered, %d refused; want some of each, and at most 20 answered", answered, refused)
	}
	change.Wait = false
	router := client.NewOperator([]string{s.Nodes[4].OperatorAddr()}, "", "test")
	again, err := router.Do(t.Context(), change)
	if err != nil || again.Version != first.Version || again.ListsVersion != first.ListsVersion {
		t.Errorf("repeated change got %+v, error %v; want the first answer %+v", again, err, first)
	}
	change.Key = "another"
	if _, err := router.Do(t.Context(), change); result.CodeOf(err) != result.VersionConflict {
		t.Errorf("change with an old version got %v, want VersionConflict", err)
	}
	if plans, err := router.Plan(t.Context(), "coop"); err != nil || !plans.Use.Spent.Plus(plans.Use.Outstanding).Within(plans.Use.Limit) {
		t.Errorf("got usage %+v, error %v; want spent plus outstanding within the limit", plans.Use, err)
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

// sendWhileLeaderDies sends n requests to each VM except the leader, and kills the leader
// meanwhile.
func sendWhileLeaderDies(t *testing.T, s *local.System, body client.Completion, leader, n int) (answered, refused int) {
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
					t.Errorf("request was neither answered nor refused: %v", err)
				}
				mu.Unlock()
			}
		})
	}
	s.Nodes[leader].Kill()
	wg.Wait()
	return answered, refused
}

// Guards against VMs that admit requests by outdated lists. Two of three control VMs die,
// and the group has no quorum. The other VMs must refuse new requests with code 3004, not
// run, once their freshness leases have expired, because an operator beyond a partition may
// have withdrawn the plan. An answer in progress must continue to its end.
func TestQuorumLossStopsAdmission(t *testing.T) {
	const lease = time.Second
	o := options(zerolog.New(zerolog.NewTestWriter(t)))
	o.VMs = 5
	setEntryTTL := o.Settings
	o.Settings = func(i int, conf *settings.Settings) {
		setEntryTTL(i, conf)
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
			t.Errorf("answer in progress got %d tokens, %d reconnects, error %v; want 120, 0, nil", len(answer.TokenIDs), answer.Reconnects, err)
		}
	})
	began := <-lost
	s.Nodes[0].Kill()
	s.Nodes[1].Kill()
	for i := 0; ; i++ {
		refusal := post(t, s.Nodes[4].Self().Endpoint, fmt.Sprint("new", i))
		after := time.Since(began)
		if refusal.Code == result.NotFresh {
			t.Logf("first request refused after %v", after)
			if refusal.Ran != result.RanNo || refusal.RetryAfter <= 0 {
				t.Errorf("got refusal %+v, want not run and a Retry-After", refusal)
			}
			break
		}
		if after > lease+lease/2 {
			t.Fatalf("new request not refused after %v with a lease of %v: got %+v", after, lease, refusal)
		}
	}
	wg.Wait()
}

// post sends one small request to one VM and returns its refusal. Package client would
// retry it.
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
