package node_test

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"github.com/amaranthshelf/amaranthshelf/internal/client"
	"github.com/amaranthshelf/amaranthshelf/internal/local"
	"github.com/amaranthshelf/amaranthshelf/internal/node"
	"github.com/amaranthshelf/amaranthshelf/internal/plan"
	"github.com/amaranthshelf/amaranthshelf/internal/settings"
)

func startWithDispatch(t *testing.T, changes ...func(*settings.Settings)) *local.System {
	t.Helper()
	o := options(zerolog.New(zerolog.NewTestWriter(t)))
	base := o.Settings
	o.Settings = func(i int, conf *settings.Settings) {
		base(i, conf)
		for _, change := range changes {
			change(conf)
		}
	}
	o.Services = []string{"dispatch"}
	plans := o.Plans
	o.Plans = func() ([]plan.Customer, []plan.Allowance) {
		customers, allowances := plans()
		allowances[0].Services = o.Services
		return customers, allowances
	}
	s, err := local.Start(o)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Stop)
	// A VM refuses calls until it has its first lease.
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
	defer cancel()
	for _, n := range s.Nodes {
		entryUntil(ctx, t, n.Self().Endpoint, func(e *client.Entry) bool { return len(e.Addresses) == len(s.Nodes) })
	}
	return s
}

// entryUntil polls the entry answer of addr until ok accepts it.
func entryUntil(ctx context.Context, t *testing.T, addr string, ok func(*client.Entry) bool) *client.Entry {
	t.Helper()
	ticker := time.NewTicker(50 * time.Millisecond)
	defer ticker.Stop()
	var last *client.Entry
	for {
		e, err := client.Discover(ctx, []string{addr}, testKey, "", "")
		if err == nil {
			if last = e; ok(e) {
				return e
			}
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			t.Fatalf("entry answer remained %+v, last error %v", last, err)
		}
	}
}

// Guards against entry answers that name a dead VM. The entry answer names three VMs, and
// one of them is killed. Two observers in two zones fail to reach it, directly and through
// each other. Within seconds the answer must omit it, under a newer version.
func TestEntryLeavesOutADeadVM(t *testing.T) {
	t.Parallel()
	s := startWithDispatch(t)
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
	defer cancel()
	asked, killed := s.Nodes[0].Self().Endpoint, s.Nodes[2].Self().Endpoint
	before := entryUntil(ctx, t, asked, func(e *client.Entry) bool { return len(e.Addresses) == 3 && e.Version > 1 })
	s.Nodes[2].Kill()
	began := time.Now()
	after := entryUntil(ctx, t, asked, func(e *client.Entry) bool { return !slices.Contains(e.Addresses, killed) })
	if after.Version <= before.Version {
		t.Errorf("entry version is %d, want more than %d", after.Version, before.Version)
	}
	if took := time.Since(began); took > 10*time.Second {
		t.Errorf("dead VM omitted after %s, want at most 10s", took)
	}
	t.Logf("dead VM omitted after %s", time.Since(began).Round(100*time.Millisecond))
}

// Guards against a replaced VM that stays out until its former incarnation is declared dead.
// A VM is killed and restarts at once, at another address and without its memory. It joins
// under a new incarnation. Within seconds the entry answer must name the new address only,
// and the VM must serve.
func TestReplacedVMJoinsWithinSeconds(t *testing.T) {
	t.Parallel()
	o := options(zerolog.New(zerolog.NewTestWriter(t)))
	o.VMs = 4
	s, err := local.Start(o)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Stop)
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
	defer cancel()
	asked, old := s.Nodes[0].Self().Endpoint, s.Nodes[3].Self()
	entryUntil(ctx, t, asked, func(e *client.Entry) bool { return slices.Contains(e.Addresses, old.Endpoint) })
	s.Nodes[3].Kill()
	conf, err := settings.Default()
	if err != nil {
		t.Fatal(err)
	}
	conf.Self = settings.VM{ID: old.ID, Zone: old.Zone, Roles: old.Roles, Peer: "127.0.0.1:0", Endpoint: "127.0.0.1:0"}
	conf.Operators, conf.DataDir = "127.0.0.1:0", t.TempDir()
	for i, e := range s.Engines {
		conf.Backends = append(conf.Backends, settings.Backend{
			Name: fmt.Sprint("engine", i+1), Kind: settings.KindEngine, Address: e.Addr, Models: []string{"m"},
		})
	}
	n, err := node.Listen(conf, zerolog.New(zerolog.NewTestWriter(t)))
	if err != nil {
		t.Fatal(err)
	}
	began := time.Now()
	n.Start([]settings.VM{s.Nodes[0].Self(), s.Nodes[1].Self(), s.Nodes[2].Self(), n.Self()})
	t.Cleanup(n.Kill)
	entryUntil(ctx, t, asked, func(e *client.Entry) bool {
		return slices.Contains(e.Addresses, n.Self().Endpoint) && !slices.Contains(e.Addresses, old.Endpoint)
	})
	if took := time.Since(began); took > 3*time.Second {
		t.Errorf("replaced VM joined after %s, want at most 3s", took)
	}
	req := client.Completion{Model: "m", Prompt: "unit 9", MaxTokens: 5}
	if _, err := client.New([]string{n.Self().Endpoint}, testKey).Complete(ctx, "replaced", req, nil); err != nil {
		t.Error(err)
	}
}

// Guards against a call that runs twice. Two VMs get a booking with the same key at the
// same moment, for ten keys. Each must run once, and both callers must get the same answer.
func TestSameKeyOnTwoVMsAtOnceRunsOnce(t *testing.T) {
	t.Parallel()
	s := startWithDispatch(t)
	for _, key := range []string{"a", "b", "c", "d", "e", "f", "g", "h", "i", "j"} {
		var answers [2]string
		var both sync.WaitGroup
		for i := range answers {
			both.Go(func() { answers[i] = book(t, s.Nodes[i+1].Self().Endpoint, key) })
		}
		both.Wait()
		if runs := s.Services[0].Runs(key); runs != 1 || answers[0] != answers[1] {
			t.Errorf("%s ran %d times, want 1; answers %q and %q, want equal ones", key, runs, answers[0], answers[1])
		}
	}
}

func book(t *testing.T, addr, key string) string {
	t.Helper()
	got, err := tryBook(t.Context(), addr, key)
	if err != nil {
		t.Error(err)
	}
	return got
}

func tryBook(ctx context.Context, addr, key string) (string, error) {
	ctx, cancel := context.WithTimeout(ctx, 10*time.Second)
	defer cancel()
	return ask(ctx, addr, "/v1/services/dispatch/bookings", key, "{}")
}
