package gateway_test

import (
	"bufio"
	"context"
	"encoding/json"
	"expvar"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/gorilla/mux"
	"github.com/rs/zerolog"

	"github.com/amaranthshelf/amaranthshelf/internal/engine"
	"github.com/amaranthshelf/amaranthshelf/internal/gateway"
	"github.com/amaranthshelf/amaranthshelf/internal/generation"
	"github.com/amaranthshelf/amaranthshelf/internal/peer/peertest"
	"github.com/amaranthshelf/amaranthshelf/internal/plan"
	"github.com/amaranthshelf/amaranthshelf/internal/relay"
	"github.com/amaranthshelf/amaranthshelf/internal/result"
	"github.com/amaranthshelf/amaranthshelf/internal/standin"
	"github.com/amaranthshelf/amaranthshelf/internal/telemetry"
)

const (
	coopKey  = "key-of-coop"
	reelKey  = "key-of-reelhouse"
	maxBody  = 4096
	someWork = `{"model":"m","prompt":"unit 7","max_tokens":40,"stream":true}`
)

// pipeListener is a listener whose connections have no buffers. A caller that does not read
// blocks its writer at once.
type pipeListener struct {
	conns chan net.Conn
	done  chan struct{}
}

func (p *pipeListener) Accept() (net.Conn, error) {
	select {
	case c := <-p.conns:
		return c, nil
	case <-p.done:
		return nil, net.ErrClosed
	}
}
func (p *pipeListener) Close() error   { close(p.done); return nil }
func (p *pipeListener) Addr() net.Addr { return &net.TCPAddr{} }

func (p *pipeListener) dial(context.Context, string, string) (net.Conn, error) {
	client, server := net.Pipe()
	p.conns <- server
	return client, nil
}

// vm is one VM with one engine, served over HTTP in virtual time.
type vm struct {
	t        *testing.T
	listener *pipeListener
	http     *http.Client
	engine   *standin.Engine
	list     *plan.Directory
	handOver context.CancelFunc // ends gateway.Config.Draining
	end      context.CancelFunc // ends gateway.Config.Ending
}

func (v *vm) Views() []generation.Membership {
	return []generation.Membership{{Version: 1, Candidates: []generation.Candidate{{VM: "vm1", Zone: "z"}}}}
}
func (v *vm) Reachable(string) bool                { return true }
func (v *vm) Directory() (*plan.Directory, error)  { return v.list, nil }
func (v *vm) HasModel(model string) bool           { return model == "m" || model == "other" }
func (v *vm) Usable(string) (engines, routers int) { return 1, 1 }
func (v *vm) Pick(context.Context, relay.Query) (relay.Choice, error) {
	return relay.Choice{Backend: relay.Backend{Name: "e"}, Done: func(relay.Outcome) {}}, nil
}

func inBubble(t *testing.T, test func(v *vm)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		v := &vm{t: t, listener: &pipeListener{make(chan net.Conn), make(chan struct{})}}
		v.http = &http.Client{Transport: &http.Transport{DialContext: v.listener.dial, DisableKeepAlives: true}}
		v.engine = standin.NewEngine(standin.DefaultEngine("e", "m"))
		v.list = plan.NewDirectory(1,
			[]plan.Customer{
				{Workspace: "coop", Plan: "p", KeyHashes: []string{plan.HashKey(coopKey)}},
				{Workspace: "reelhouse", Plan: "p", KeyHashes: []string{plan.HashKey(reelKey)}},
			},
			[]plan.Allowance{{Plan: "p", Models: []string{"m"}}})
		tracer, err := telemetry.NewTracer("vm1", "")
		if err != nil {
			t.Fatal(err)
		}
		hub := relay.NewHub(relay.Config{
			VM: "vm1", EpochVM: "vm1#1", OpenTimeout: 4 * time.Second, SilenceLimit: time.Second,
			CallerKeep: 2 * time.Minute, Limits: generation.DefaultLimits(2 * time.Minute),
		}, relay.Deps{
			Transport: peertest.New(1).VM("vm1"), Members: v, Engines: v.engine, Router: v,
			Log: zerolog.Nop(), Metrics: new(expvar.Map).Init(),
		})
		var handedOver, ending context.Context
		handedOver, v.handOver = context.WithCancel(t.Context())
		ending, v.end = context.WithCancel(t.Context())
		g := gateway.New(gateway.Config{MaxBodyBytes: maxBody, Heartbeat: time.Second, Draining: handedOver, Ending: ending}, hub, v, v, tracer, zerolog.Nop())
		r := mux.NewRouter().UseEncodedPath()
		g.Routes(r)
		server := &http.Server{Handler: r}
		go func() { _ = server.Serve(v.listener) }()
		test(v)
		_ = server.Close()
		hub.Close()
		v.engine.Stop()
		time.Sleep(10 * time.Second) // virtual: until every goroutine has ended
	})
}

func (v *vm) post(key, idempotency, last, body string) *http.Response {
	v.t.Helper()
	r, err := http.NewRequestWithContext(v.t.Context(), http.MethodPost, "http://vm/v1/completions", strings.NewReader(body))
	if err != nil {
		v.t.Fatal(err)
	}
	r.Header.Set("Authorization", "Bearer "+key)
	r.Header.Set("Idempotency-Key", idempotency)
	if last != "" {
		r.Header.Set("Last-Event-ID", last)
	}
	resp, err := v.http.Do(r)
	if err != nil {
		v.t.Fatal(err)
	}
	return resp
}

// events reads a streamed answer and returns the event ids in order and the tokens.
func (v *vm) events(resp *http.Response) (ids []string, tokens []int32) {
	v.t.Helper()
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		text, _ := io.ReadAll(resp.Body)
		v.t.Fatalf("status %d: %s", resp.StatusCode, text)
	}
	lines := bufio.NewScanner(resp.Body)
	lines.Buffer(nil, 1<<20)
	for lines.Scan() {
		if id, ok := strings.CutPrefix(lines.Text(), "id: "); ok {
			ids = append(ids, id)
		}
		data, ok := strings.CutPrefix(lines.Text(), "data: ")
		if !ok || data == "[DONE]" {
			continue
		}
		var e struct {
			TokenIDs []int32 `json:"token_ids"`
		}
		if err := json.Unmarshal([]byte(data), &e); err != nil {
			v.t.Fatal(err)
		}
		tokens = append(tokens, e.TokenIDs...)
	}
	return ids, tokens
}

// A caller sends invalid requests while a valid answer of its own or of another workspace
// exists. Each mistake gets its own code, no code reveals whether a request of another
// workspace exists, and the valid answer is still complete afterwards.
func TestEachMistakeHasItsCode(t *testing.T) {
	inBubble(t, func(v *vm) {
		ids, answer := v.events(v.post(coopKey, "good", "", someWork))
		if len(answer) != 40 || len(ids) < 10 {
			t.Fatalf("got %d tokens in %d events, want 40 in at least 10", len(answer), len(ids))
		}
		mid := ids[5]
		for _, c := range []struct {
			name            string
			key, idem, last string
			body            string
			want            result.Code
		}{
			{"malformed", coopKey, "a", "", `{"model":`, result.MalformedBody},
			{"wrong type", coopKey, "a", "", `{"model":7}`, result.MalformedBody},
			{"two values", coopKey, "a", "", someWork + someWork, result.MalformedBody},
			{"oversized", coopKey, "a", "", `{"model":"m","prompt":"` + strings.Repeat("x", maxBody) + `"}`, result.BodyTooLarge},
			{"no prompt", coopKey, "a", "", `{"model":"m","max_tokens":4}`, result.InvalidField},
			{"both prompts", coopKey, "a", "", `{"model":"m","max_tokens":4,"prompt":"a","prompt_token_ids":[1]}`, result.InvalidField},
			{"no tokens", coopKey, "a", "", `{"model":"m","prompt":"a"}`, result.InvalidField},
			{"too many tokens", coopKey, "a", "", `{"model":"m","prompt":"a","max_tokens":99999999}`, result.InvalidField},
			{"unknown model", coopKey, "a", "", strings.Replace(someWork, `"m"`, `"none"`, 1), result.UnknownModel},
			{"unknown adapter", coopKey, "b", "", strings.Replace(someWork, `{"model"`, `{"adapter":"none","model"`, 1), result.AdapterNotServed},
			{"model of another plan", coopKey, "a", "", strings.Replace(someWork, `"m"`, `"other"`, 1), result.ModelNotInPlan},
			{"bad key", "nobody", "a", "", someWork, result.Unauthorized},
			{"bad idempotency key", coopKey, "a/b", "", someWork, result.InvalidKey},
			{"long idempotency key", coopKey, strings.Repeat("k", 129), "", someWork, result.InvalidKey},
			{"unreadable event id", coopKey, "good", "good/x/y", someWork, result.BadLastEventID},
			{"event of another request", coopKey, "a", mid, someWork, result.BadLastEventID},
			{"event ahead of the answer", coopKey, "good", "good/9999/0000000000000001", someWork, result.BadLastEventID},
			{"wrong digest", coopKey, "good", mid[:len(mid)-16] + "0123456789abcdef", someWork, result.PrefixMismatch},
			{"resume of nothing", coopKey, "none", "none/3/0123456789abcdef", someWork, result.NotFound},
			{"resume of a foreign answer", reelKey, "good", mid, someWork, result.NotFound},
			{"key with another body", coopKey, "good", "", strings.Replace(someWork, "unit 7", "unit 8", 1), result.KeyReused},
		} {
			resp := v.post(c.key, c.idem, c.last, c.body)
			var got result.Error
			if err := json.NewDecoder(resp.Body).Decode(&got); err != nil {
				t.Errorf("%s: got status %d without a coded error", c.name, resp.StatusCode)
			}
			_ = resp.Body.Close()
			if got.Code != c.want || resp.StatusCode != result.Lookup(c.want).Status || got.Ran != result.RanNo {
				t.Errorf("%s: got code %d, status %d, ran %s; want code %d", c.name, got.Code, resp.StatusCode, got.Ran, c.want)
			}
		}
		_, rest := v.events(v.post(coopKey, "good", mid, someWork))
		if fmt.Sprint(rest) != fmt.Sprint(answer[len(answer)-len(rest):]) || len(rest) == 0 {
			t.Error("the rest of the valid answer differs after the invalid requests")
		}
		if starts := v.engine.Stats().RunsStarted; starts != 1 {
			t.Errorf("got %d attempts, want 1", starts)
		}
	})
}

// A caller stops reading in the middle of a stream and must not delay others: another caller
// of the same answer and one of another answer get theirs at the engine's speed. The slow
// connection is closed after its write deadline, and the caller gets the rest when it
// reconnects.
func TestSlowReaderHoldsNobodyUp(t *testing.T) {
	inBubble(t, func(v *vm) {
		long := strings.Replace(someWork, `"max_tokens":40`, `"max_tokens":2000`, 1)
		slow := v.post(coopKey, "long", "", long)
		head := make([]byte, 2000)
		if _, err := io.ReadFull(slow.Body, head); err != nil {
			t.Fatal(err)
		}
		began := time.Now()
		_, beside := v.events(v.post(coopKey, "beside", "", someWork))
		if took := time.Since(began); len(beside) != 40 || took > time.Second {
			t.Errorf("got %d tokens in %v of another answer beside the slow reader, want 40 within 1s", len(beside), took)
		}
		_, same := v.events(v.post(coopKey, "long", "", long))
		want := engine.Completion{Model: "m", Prompt: "unit 7", MaxTokens: 2000}
		if err := standin.Verify(want, "1", same, true); err != nil {
			t.Errorf("the fast reader of the same answer: %v", err)
		}
		time.Sleep(time.Minute) // virtual: the write deadline passes
		tail, err := io.ReadAll(slow.Body)
		if err == nil || len(tail) > 1<<16 {
			t.Errorf("the slow connection got %d more bytes and error %v, want an error and at most 65536 bytes", len(tail), err)
		}
		text := string(head)
		last := text[strings.LastIndex(text[:strings.LastIndex(text, "\n\n")], "id: ")+4:]
		last = last[:strings.Index(last, "\n")]
		var index int
		_, _ = fmt.Sscanf(last, "long/%d/", &index)
		_, rest := v.events(v.post(coopKey, "long", last, long))
		if fmt.Sprint(rest) != fmt.Sprint(same[index:]) {
			t.Errorf("the slow caller got %d tokens after index %d, want the rest of the answer", len(rest), index)
		}
	})
}
