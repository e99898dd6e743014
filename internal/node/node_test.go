package node_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"github.com/amaranthshelf/amaranthshelf/internal/client"
	"github.com/amaranthshelf/amaranthshelf/internal/engine"
	"github.com/amaranthshelf/amaranthshelf/internal/node"
	"github.com/amaranthshelf/amaranthshelf/internal/plan"
	"github.com/amaranthshelf/amaranthshelf/internal/settings"
	"github.com/amaranthshelf/amaranthshelf/internal/standin"
)

const testKey = "key-of-coop"

// system is three VMs in three zones before three engines, on loopback.
type system struct {
	nodes   []*node.Node
	engines []*standin.EngineServer
}

func start(t *testing.T) *system {
	t.Helper()
	s := &system{}
	var backends []settings.Backend
	for i := range 3 {
		e, err := standin.ServeEngine(standin.DefaultEngine(fmt.Sprintf("e%d", i), "m"), "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(e.Close)
		s.engines = append(s.engines, e)
		backends = append(backends, settings.Backend{Name: fmt.Sprintf("e%d", i), Address: e.Addr, Models: []string{"m"}})
	}
	var vms []settings.VM
	for i := range 3 {
		conf := testSettings(t, i)
		conf.Backends = backends
		n, err := node.Listen(conf, zerolog.New(zerolog.NewTestWriter(t)))
		if err != nil {
			t.Fatal(err)
		}
		s.nodes = append(s.nodes, n)
		vms = append(vms, n.Self())
	}
	dir := plan.NewDirectory(1,
		[]plan.Customer{{Workspace: "coop", Plan: "p", KeyHashes: []string{plan.HashKey(testKey)}}},
		[]plan.Allowance{{Plan: "p", Models: []string{"m"}}})
	for _, n := range s.nodes {
		n.Start(vms)
		n.SetPlans(dir)
		t.Cleanup(n.Kill)
	}
	return s
}

func testSettings(t *testing.T, i int) *settings.Settings {
	t.Helper()
	conf, err := settings.Default()
	if err != nil {
		t.Fatal(err)
	}
	conf.Self.ID = fmt.Sprintf("vm%d", i+1)
	conf.Self.Zone = fmt.Sprintf("zone%d", i+1)
	conf.Self.Callers, conf.Self.Peer, conf.Operators = "127.0.0.1:0", "127.0.0.1:0", "127.0.0.1:0"
	conf.DataDir = t.TempDir()
	return conf
}

func (s *system) addresses() []string {
	var out []string
	for _, n := range s.nodes {
		out = append(out, n.Self().Callers)
	}
	return out
}

// The caller sees one whole answer. Its engine dies in mid-output, then the VM
// that holds its connection; the caller reconnects to the next VM with the id of
// its last event. The journal on the other VMs holds every token released.
func TestAnswerSurvivesEngineThenRouter(t *testing.T) {
	s := start(t)
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
	defer cancel()
	req := client.Completion{Model: "m", Prompt: "unit 7 log: return flow cold", MaxTokens: 200}
	killedEngine, killedVM := false, false
	answer, err := client.New(s.addresses(), testKey).Complete(ctx, "diag-1", req, func(p client.Progress) {
		if p.Index >= 50 && !killedEngine {
			killedEngine = true
			s.killBusiestEngine()
		}
		if p.Index >= 120 && !killedVM {
			killedVM = true
			go s.nodes[0].Kill()
		}
	})
	if err != nil {
		t.Fatal(err)
	}
	if !killedEngine || !killedVM || answer.Reconnects == 0 {
		t.Fatalf("faults not brought about: engine %v, VM %v, reconnects %d", killedEngine, killedVM, answer.Reconnects)
	}
	c := engine.Completion{Model: "m", Prompt: req.Prompt, MaxTokens: req.MaxTokens}
	if err := standin.Verify(c, "1", answer.TokenIDs, true); err != nil {
		t.Error(err)
	}
}

func (s *system) killBusiestEngine() {
	for _, e := range s.engines {
		if e.Stats().GeneratedTotal > 0 && e.Alive() {
			e.Kill()
			return
		}
	}
}
