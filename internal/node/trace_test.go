package node_test

import (
	"context"
	"encoding/json"
	"os"
	"path/filepath"
	"slices"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"github.com/amaranthshelf/amaranthshelf/internal/client"
	"github.com/amaranthshelf/amaranthshelf/internal/local"
	"github.com/amaranthshelf/amaranthshelf/internal/settings"
)

type span struct {
	Name        string
	SpanContext struct{ TraceID string }
	Attributes  []struct {
		Key   string
		Value struct{ Value any }
	}
}

// Guards against a trace that ends at a failover. The engine that serves the caller dies,
// then its VM shuts down, and another VM resumes the answer. The spans of both VMs, one for
// each hop, must belong to one trace and name the request.
func TestOneTraceFollowsARequestAcrossVMs(t *testing.T) {
	dir := t.TempDir()
	o := options(zerolog.Nop())
	o.Settings = func(_ int, s *settings.Settings) {
		s.TraceFile = filepath.Join(dir, s.Self.ID)
		s.EntryTTL = time.Millisecond
	}
	s, err := local.Start(o)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Stop)
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
	defer cancel()
	killed, left := false, false
	_, err = client.New(s.Addresses(), testKey).Complete(ctx, "traced", client.Completion{Model: "m", Prompt: "a unit log", MaxTokens: 600},
		func(p client.Progress) {
			if p.Index >= 40 && !killed {
				killed = s.KillRunningEngine()
			}
			if p.Index >= 80 && !left {
				left = true
				go func() { _ = s.Nodes[0].Shutdown(ctx) }()
			}
		})
	if err != nil || !killed || !left {
		t.Fatalf("got error %v, engine killed %v, VM left %v; want nil, true, true", err, killed, left)
	}
	for _, n := range s.Nodes[1:] {
		_ = n.Shutdown(ctx)
	}
	hops := spansOf(t, dir, "traced")
	if len(hops) != 1 {
		t.Errorf("got %d traces of the request, want 1: %v", len(hops), hops)
	}
	for _, names := range hops {
		for _, want := range []string{"entry", "admission", "queue", "journal", "attempt", "resume"} {
			if !slices.Contains(names, want) {
				t.Errorf("got no span %q in %v", want, names)
			}
		}
		if n := len(slices.DeleteFunc(slices.Clone(names), func(s string) bool { return s != "journal" })); n < 2 {
			t.Errorf("got %d journal spans, want at least 2, one on each VM", n)
		}
	}
}

// spansOf returns the names of a request's spans on all VMs, by trace.
func spansOf(t *testing.T, dir, request string) map[string][]string {
	t.Helper()
	out := map[string][]string{}
	files, _ := filepath.Glob(filepath.Join(dir, "*"))
	for _, path := range files {
		f, err := os.Open(path)
		if err != nil {
			t.Fatal(err)
		}
		defer f.Close()
		for dec := json.NewDecoder(f); dec.More(); {
			var s span
			if err := dec.Decode(&s); err != nil {
				t.Fatal(err)
			}
			for _, a := range s.Attributes {
				if a.Key == "request.id" && a.Value.Value == request {
					out[s.SpanContext.TraceID] = append(out[s.SpanContext.TraceID], s.Name)
				}
			}
		}
	}
	return out
}
