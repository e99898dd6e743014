package operator_test

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/gorilla/mux"
	"github.com/rs/zerolog"

	"github.com/amaranthshelf/amaranthshelf/internal/client"
	"github.com/amaranthshelf/amaranthshelf/internal/control"
	"github.com/amaranthshelf/amaranthshelf/internal/explain"
	"github.com/amaranthshelf/amaranthshelf/internal/operator"
	"github.com/amaranthshelf/amaranthshelf/internal/peer/peertest"
	"github.com/amaranthshelf/amaranthshelf/internal/plan"
	"github.com/amaranthshelf/amaranthshelf/internal/result"
)

const token = "operators-token"

type group struct {
	state  *control.ReplicatedState
	ledger *plan.Ledger
}

func (g *group) Ask(_ context.Context, q plan.Query) (out plan.Answer, err error) {
	g.state.Read(control.PlansStateMachine, func(p control.StateMachine) { out = p.(*plan.Registry).Ask(q, g.ledger) })
	return out, nil
}

type inForce struct{ asked []uint64 }

func (i *inForce) Wait(_ context.Context, version uint64) error {
	i.asked = append(i.asked, version)
	return nil
}

type system struct {
	net     *peertest.Net
	handler http.Handler
	rings   map[string]*explain.Ring
	inForce inForce
	dir     *plan.Directory
}

// newSystem returns a system of vm1, whose API uses a control group of one member, and vm2,
// which only answers messages.
func newSystem(t *testing.T) *system {
	t.Helper()
	s := &system{net: peertest.New(1), rings: map[string]*explain.Ring{}}
	registry := plan.NewRegistry()
	g := &group{state: control.NewReplicatedState(), ledger: plan.NewLedger(registry, func(err error) { t.Error(err) })}
	g.state.Register(control.PlansStateMachine, registry)
	vms := func() []string { return []string{"vm1", "vm2"} }
	explainers := map[string]*operator.Explainer{}
	for _, vm := range vms() {
		s.rings[vm] = explain.NewRing(10)
		transport := s.net.VM(vm)
		explainers[vm] = operator.NewExplainer(transport, vms, s.rings[vm])
		api := operator.New(operator.Deps{
			Token: token, VM: vm, Control: control.NewLocalClient(g.state), Lists: g, InForce: &s.inForce,
			Transport: transport, VMs: vms, Self: func() operator.VMStatus { return operator.VMStatus{VM: vm, Version: 7, Fresh: true} },
			Explain: explainers[vm], Log: zerolog.Nop(),
		})
		if vm == "vm1" {
			r := mux.NewRouter()
			api.Routes(r)
			callers := r.PathPrefix("/callers").Subrouter()
			explainers[vm].CallerRoutes(callers, func() (*plan.Directory, error) { return s.dir, nil })
			s.handler = r
		}
	}
	return s
}

func (s *system) do(method, path, body string, header ...string) *httptest.ResponseRecorder {
	r := httptest.NewRequest(method, path, strings.NewReader(body))
	r.Header.Set("Authorization", "Bearer "+token)
	for i := 0; i < len(header); i += 2 {
		r.Header.Set(header[i], header[i+1])
	}
	w := httptest.NewRecorder()
	s.handler.ServeHTTP(w, r)
	return w
}

const goldRow = `{"models":["m"],"services":[],"tokens_per_window":100,"requests_per_window":10,"window_seconds":60,"concurrent":2,"share":1,"priority_ceiling":0}`

func TestListsOverHTTP(t *testing.T) {
	s := newSystem(t)
	for _, step := range []struct {
		name, method, path, body string
		header                   []string
		status                   int
		code                     result.Code
		etag                     string
	}{
		{"no precondition", "PUT", "/v1/allowances/gold", goldRow, nil, 428, result.VersionRequired, ""},
		{"create", "PUT", "/v1/allowances/gold", goldRow, []string{"If-None-Match", "*", "Idempotency-Key", "k1"}, 201, 0, `"1"`},
		{"resend", "PUT", "/v1/allowances/gold", goldRow, []string{"If-None-Match", "*", "Idempotency-Key", "k1"}, 201, 0, `"1"`},
		{"key reused", "PUT", "/v1/allowances/tin", goldRow, []string{"If-None-Match", "*", "Idempotency-Key", "k1"}, 409, result.KeyReused, ""},
		{"bad key", "PUT", "/v1/allowances/tin", goldRow, []string{"If-None-Match", "*", "Idempotency-Key", "a b"}, 400, result.InvalidKey, ""},
		{"create twice", "PUT", "/v1/allowances/gold", goldRow, []string{"If-None-Match", "*"}, 412, result.VersionConflict, `"1"`},
		{"unknown plan", "PUT", "/v1/plans/coop", `{"plan":"tin","key_hashes":[]}`, []string{"If-None-Match", "*"}, 422, result.UnknownPlan, ""},
		{"unknown field", "PUT", "/v1/plans/coop", `{"plan":"gold","keys":[]}`, []string{"If-None-Match", "*"}, 400, result.MalformedBody, ""},
		{"other name", "PUT", "/v1/plans/coop", `{"workspace":"x","plan":"gold"}`, []string{"If-None-Match", "*"}, 400, result.InvalidField, ""},
		{"too large", "PUT", "/v1/plans/coop", `{"plan":"` + strings.Repeat("x", 300_000) + `"}`, []string{"If-None-Match", "*"}, 413, result.BodyTooLarge, ""},
		{"add workspace", "PUT", "/v1/plans/coop?wait=in-force", `{"plan":"gold","key_hashes":["` + plan.HashKey("k") + `"]}`, []string{"If-None-Match", "*"}, 201, 0, `"2"`},
		{"read", "GET", "/v1/plans/coop", "", nil, 200, 0, `"2"`},
		{"in use", "DELETE", "/v1/allowances/gold", "", []string{"If-Match", `"1"`}, 409, result.PlanInUse, `"1"`},
		{"weak etag", "DELETE", "/v1/plans/coop", "", []string{"If-Match", `W/"2"`}, 400, result.UnsupportedHeader, ""},
		{"remove", "DELETE", "/v1/plans/coop", "", []string{"If-Match", `"2"`}, 200, 0, ""},
		{"gone", "GET", "/v1/plans/coop", "", nil, 404, result.NotFound, ""},
		{"list", "GET", "/v1/allowances", "", nil, 200, 0, `"3"`},
		{"no token", "GET", "/v1/plans", "", []string{"Authorization", ""}, 401, result.Unauthorized, ""},
		{"wrong token", "GET", "/v1/plans", "", []string{"Authorization", "Bearer operators-tokem"}, 401, result.Unauthorized, ""},
		{"no method", "POST", "/v1/plans", "", nil, 405, result.MethodNotAllowed, ""},
	} {
		w := s.do(step.method, step.path, step.body, step.header...)
		var coded result.Error
		if w.Code >= 400 {
			if err := json.Unmarshal(w.Body.Bytes(), &coded); err != nil {
				t.Errorf("%s: answer without a coded error: %s", step.name, w.Body)
			}
		}
		if w.Code != step.status || coded.Code != step.code || w.Header().Get("ETag") != step.etag {
			t.Errorf("%s: got status %d, code %d, ETag %s, want those of the step; body: %s", step.name, w.Code, coded.Code, w.Header().Get("ETag"), w.Body)
		}
	}
	if len(s.inForce.asked) != 1 || s.inForce.asked[0] != 2 {
		t.Errorf("waited for versions %v, want only version 2", s.inForce.asked)
	}
	if w := s.do("GET", "/v1/plans/coop/history", ""); strings.Count(w.Body.String(), `"version"`) != 2 {
		t.Errorf("got history %s, want 2 changes", w.Body)
	}
}

// An operator's change is committed, but the VM dies before it answers. The client resends
// the change to the next address. The change must be made only once, and the answer must be
// that to the first send and not a version conflict.
func TestResendOverAnotherVMIsMadeOnce(t *testing.T) {
	s := newSystem(t)
	dying := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.handler.ServeHTTP(httptest.NewRecorder(), r)
		panic(http.ErrAbortHandler)
	}))
	defer dying.Close()
	healthy := httptest.NewServer(s.handler)
	defer healthy.Close()
	addrs := []string{strings.TrimPrefix(dying.URL, "http://"), strings.TrimPrefix(healthy.URL, "http://")}
	o := client.NewOperator(addrs, token, "ann")
	var row plan.Allowance
	if err := json.Unmarshal([]byte(goldRow), &row); err != nil {
		t.Fatal(err)
	}
	out, err := o.Do(t.Context(), client.Change{List: "allowances", Name: "gold", Row: row})
	if err != nil || out.Version != 1 {
		t.Fatalf("got %+v, %v, want version 1", out, err)
	}
	h, err := o.History(t.Context(), "allowances", "gold")
	if err != nil || len(h) != 1 || !strings.HasPrefix(h[0].Who, "ann@") {
		t.Errorf("got history %+v, %v, want one change by ann", h, err)
	}
}

// A request was placed on vm1 and resumed on vm2. Operators and its own workspace see both
// decisions in order. To another workspace the request does not exist. While vm2 is
// partitioned, the answer lists it as unreachable.
func TestExplainAcrossVMsWithinOneWorkspace(t *testing.T) {
	s := newSystem(t)
	s.dir = plan.NewDirectory(1, []plan.Customer{
		{Workspace: "coop", Plan: "gold", KeyHashes: []string{plan.HashKey("coop-key")}},
		{Workspace: "film", Plan: "gold", KeyHashes: []string{plan.HashKey("film-key")}},
	}, []plan.Allowance{{Plan: "gold"}})
	key := explain.Key{Workspace: "coop", Request: "r1"}
	at := time.Unix(1000, 0)
	s.rings["vm2"].Note(key, explain.Note{At: at.Add(time.Second), VM: "vm2", What: explain.Resumed})
	s.rings["vm1"].Note(key, explain.Note{At: at, VM: "vm1", What: explain.Placed})
	complete := func(w *httptest.ResponseRecorder) bool {
		body := w.Body.String()
		return w.Code == 200 && strings.Index(body, explain.Placed) > 0 && strings.Index(body, explain.Placed) < strings.Index(body, explain.Resumed)
	}
	if w := s.do("GET", "/v1/explain/r1?workspace=coop", ""); !complete(w) {
		t.Errorf("operator: got %d %s, want both decisions in order", w.Code, w.Body)
	}
	if w := s.do("GET", "/callers/v1/explain/r1", "", "Authorization", "Bearer coop-key"); !complete(w) {
		t.Errorf("own workspace: got %d %s, want both decisions in order", w.Code, w.Body)
	}
	other := s.do("GET", "/callers/v1/explain/r1?workspace=coop", "", "Authorization", "Bearer film-key")
	absent := s.do("GET", "/callers/v1/explain/r2", "", "Authorization", "Bearer film-key")
	if other.Code != 404 || other.Body.String() != absent.Body.String() {
		t.Errorf("another workspace: got %d %s, want 404 and the answer for an unknown request: %s", other.Code, other.Body, absent.Body)
	}
	s.net.Isolate("vm2")
	w := s.do("GET", "/v1/explain/r1?workspace=coop", "")
	if !strings.Contains(w.Body.String(), `"unreachable_vms":["vm2"]`) || !strings.Contains(w.Body.String(), explain.Placed) {
		t.Errorf("got %s while vm2 is partitioned, want it listed as unreachable and the decision of vm1", w.Body)
	}
	if body, _ := io.ReadAll(s.do("GET", "/v1/status", "").Body); !strings.Contains(string(body), `"reachable":false`) {
		t.Errorf("got status %s while vm2 is partitioned, want it not reachable", body)
	}
}
