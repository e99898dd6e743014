package node_test

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/amaranthshelf/amaranthshelf/internal/client"
	"github.com/amaranthshelf/amaranthshelf/internal/engine"
	"github.com/amaranthshelf/amaranthshelf/internal/standin"
)

// Guards against answers that are cut off or recomputed by a shutdown. The VM that owns two
// answers shuts down while they are generated. The streaming caller is told to reconnect
// between two events and gets the rest from another VM. The caller without streaming keeps
// its connection. Both answers must be complete, and no engine may compute a token twice.
func TestShutdownCutsNothingOff(t *testing.T) {
	s := start(t)
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
	defer cancel()
	req := client.Completion{Model: "m", Prompt: "dossier: compare two festivals", MaxTokens: 400}
	var wg sync.WaitGroup
	var unstreamed struct {
		TokenIDs []int32 `json:"token_ids"`
		Finish   string  `json:"finish_reason"`
	}
	wg.Go(func() { postUnstreamed(ctx, t, s.Addresses()[0], req, &unstreamed) })
	stopped := make(chan error, 1)
	leaving := false
	answer, err := client.New(s.Addresses(), testKey).Complete(ctx, "dossier-1", req, func(p client.Progress) {
		if p.Index >= 50 && !leaving {
			leaving = true
			go func() { stopped <- s.Nodes[0].Shutdown(ctx) }()
		}
	})
	if err != nil {
		t.Fatal(err)
	}
	wg.Wait()
	if err := <-stopped; err != nil {
		t.Errorf("shutdown failed: %v", err)
	}
	c := engine.Completion{Model: "m", Prompt: req.Prompt, MaxTokens: req.MaxTokens}
	for name, tokens := range map[string][]int32{"streamed": answer.TokenIDs, "unstreamed": unstreamed.TokenIDs} {
		if err := standin.Verify(c, "1", tokens, true); err != nil {
			t.Errorf("%s: %v", name, err)
		}
	}
	if answer.Reconnects == 0 {
		t.Error("the streaming caller was not told to reconnect")
	}
	if extra := s.ComputedTokens() - 2*req.MaxTokens - 2*len(req.Prompt); extra > 0 {
		t.Errorf("engines did extra work of %d tokens, want none", extra)
	}
}

func postUnstreamed(ctx context.Context, t *testing.T, addr string, req client.Completion, out any) {
	body, _ := json.Marshal(req)
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+addr+"/v1/completions", bytes.NewReader(body))
	if err != nil {
		t.Error(err)
		return
	}
	r.Header.Set("Authorization", "Bearer "+testKey)
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		t.Error(err)
		return
	}
	defer resp.Body.Close()
	if err := json.NewDecoder(resp.Body).Decode(out); err != nil {
		t.Error(err)
	}
}
