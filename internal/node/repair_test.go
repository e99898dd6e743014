package node_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"github.com/amaranthshelf/amaranthshelf/internal/client"
	"github.com/amaranthshelf/amaranthshelf/internal/engine"
	"github.com/amaranthshelf/amaranthshelf/internal/local"
	"github.com/amaranthshelf/amaranthshelf/internal/plan"
	"github.com/amaranthshelf/amaranthshelf/internal/settings"
	"github.com/amaranthshelf/amaranthshelf/internal/standin"
)

// Guards against a model that is lost with its engines. Both engines of model a die, one
// after the other. In between, which takes half a minute, the leader has a copy loaded on
// an engine of model b. A caller of model a must then get a complete answer from it.
func TestLostModelIsServedElsewhere(t *testing.T) {
	if testing.Short() {
		t.Skip("takes half a minute of real time")
	}
	t.Parallel()
	models := []string{"a", "a", "b", "b"}
	o := options(zerolog.New(zerolog.NewTestWriter(t)))
	o.Engines = len(models)
	o.Engine = func(i int) standin.EngineConfig {
		return standin.DefaultEngine(fmt.Sprint("engine", i+1), models[i])
	}
	setEntryTTL := o.Settings
	o.Settings = func(i int, s *settings.Settings) {
		setEntryTTL(i, s)
		backends := append([]settings.Backend{}, s.Backends...)
		for j := range models {
			backends[j].Models = []string{models[j]}
		}
		s.Backends = backends
	}
	plans := o.Plans
	o.Plans = func() ([]plan.Customer, []plan.Allowance) {
		customers, allowances := plans()
		allowances[0].Models = []string{"a", "b"}
		return customers, allowances
	}
	s, err := local.Start(o)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Stop)
	ctx, cancel := context.WithTimeout(t.Context(), 60*time.Second)
	defer cancel()
	req := client.Completion{Model: "a", Prompt: "unit 3", MaxTokens: 20}
	if _, err := client.New(s.Addresses(), testKey).Complete(ctx, "before", req, nil); err != nil {
		t.Fatal(err)
	}
	ticker := time.NewTicker(100 * time.Millisecond)
	defer ticker.Stop()
	until := func(what string, ok func() bool) {
		t.Helper()
		for !ok() {
			select {
			case <-ticker.C:
			case <-ctx.Done():
				t.Fatal("timed out waiting for: " + what)
			}
		}
	}
	holds := func(i int, model string) bool {
		for _, m := range s.Engines[i].State().Models {
			if m.Name == model && m.Ready {
				return true
			}
		}
		return false
	}
	s.Engines[0].Kill()
	until("copy of model a on another engine", func() bool { return holds(2, "a") || holds(3, "a") })
	s.Engines[1].Kill()
	answer, err := client.New(s.Addresses(), testKey).Complete(ctx, "after", req, nil)
	if err != nil {
		t.Fatal(err)
	}
	c := engine.Completion{Model: "a", Prompt: req.Prompt, MaxTokens: req.MaxTokens}
	if err := standin.Verify(c, "1", answer.TokenIDs, true); err != nil {
		t.Error(err)
	}
}
