package routes

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"time"
)

// routeListJSON is the native JSON format of a route list. Unknown fields are rejected,
// because a misspelled limit would otherwise have no effect.
type routeListJSON struct {
	Version    uint64          `json:"version"`
	Routes     []routeJSON     `json:"routes"`
	Services   []serviceJSON   `json:"services"`
	Workspaces []workspaceJSON `json:"workspaces"`
	Limits     struct {
		BodyBytes       int64 `json:"body_bytes"`
		HeaderBytes     int   `json:"header_bytes"`
		HeaderTimeoutMS int64 `json:"header_timeout_ms"`
		IdleTimeoutMS   int64 `json:"idle_timeout_ms"`
	} `json:"limits"`
}

type routeJSON struct {
	Name        string       `json:"name"`
	Host        string       `json:"host"`
	Prefix      string       `json:"prefix"`
	Kind        string       `json:"kind"` // once, idempotent or stream
	Resumable   bool         `json:"resumable"`
	Public      bool         `json:"public"`
	TimeoutMS   int64        `json:"timeout_ms"`
	ObjectiveMS int64        `json:"objective_ms"`
	PauseMS     int64        `json:"pause_ms"`
	PatienceMS  int64        `json:"patience_ms"` // of callers until the first event; 0: until their deadline
	Priority    int          `json:"priority"`
	MaxAttempts int          `json:"max_attempts"`
	Targets     []targetJSON `json:"targets"`
}

type targetJSON struct {
	Service string `json:"service"`
	Weight  int    `json:"weight"`
}

type serviceJSON struct {
	Name   string `json:"name"`
	Engine *struct {
		Slots         int   `json:"slots"`
		KVTokens      int   `json:"kv_tokens"`
		KeepCopies    bool  `json:"keep_copies"`
		CopiesOnOrder bool  `json:"copies_on_order"`
		CopyLifeMS    int64 `json:"copy_life_ms"`
	} `json:"engine"`
}

type workspaceJSON struct {
	Name     string   `json:"name"`
	Keys     []string `json:"keys"`
	Priority *int     `json:"priority"`
}

var kindsByName = map[string]Kind{"once": Once, "idempotent": Idempotent, "stream": Stream}

// Parse decodes and validates a list in the native JSON format. Its errors carry
// result.InvalidRouteList.
func Parse(data []byte) (*List, error) {
	var t routeListJSON
	dec := json.NewDecoder(bytes.NewReader(data))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&t); err != nil {
		return nil, invalidList("not readable: %v", err)
	}
	if _, err := dec.Token(); !errors.Is(err, io.EOF) {
		return nil, invalidList("text behind the list")
	}
	l := &List{Version: t.Version, Keyed: len(t.Workspaces) > 0, Source: data}
	l.Limits = Limits{
		MaxBodyBytes: t.Limits.BodyBytes, MaxHeaderBytes: t.Limits.HeaderBytes,
		HeaderTimeout: milliseconds(t.Limits.HeaderTimeoutMS), IdleTimeout: milliseconds(t.Limits.IdleTimeoutMS),
	}
	for i := range t.Routes {
		r, err := t.Routes[i].route()
		if err != nil {
			return nil, err
		}
		l.Routes = append(l.Routes, r)
	}
	for i := range t.Services {
		l.Services = append(l.Services, t.Services[i].service())
	}
	for _, w := range t.Workspaces {
		l.Workspaces = append(l.Workspaces, Workspace(w))
	}
	return l, l.Validate()
}

func (t *routeJSON) route() (Route, error) {
	kind, ok := kindsByName[t.Kind]
	if !ok {
		return Route{}, invalidList("route %q has kind %q; allowed: once, idempotent, stream", t.Name, t.Kind)
	}
	r := Route{
		Name: t.Name, Host: t.Host, Prefix: t.Prefix, Kind: kind, Resumable: t.Resumable, Public: t.Public,
		Timeout: milliseconds(t.TimeoutMS), Objective: milliseconds(t.ObjectiveMS), PauseObjective: milliseconds(t.PauseMS),
		Patience: milliseconds(t.PatienceMS), Priority: t.Priority, MaxAttempts: t.MaxAttempts,
	}
	for _, target := range t.Targets {
		r.Targets = append(r.Targets, Target(target))
	}
	return r, nil
}

func (t *serviceJSON) service() Service {
	s := Service{Name: t.Name}
	if e := t.Engine; e != nil {
		s.Engine = &EngineTraits{
			Slots: e.Slots, KVTokens: e.KVTokens, KeepCopies: e.KeepCopies,
			CopiesOnOrder: e.CopiesOnOrder, CopyLife: milliseconds(e.CopyLifeMS),
		}
	}
	return s
}

func milliseconds(n int64) time.Duration { return time.Duration(n) * time.Millisecond }
