package routes

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"time"
)

// text is the project's own form of a route list, JSON. Unknown fields are
// refused: a misspelt limit would be no limit.
type text struct {
	Version    uint64          `json:"version"`
	Routes     []textRoute     `json:"routes"`
	Services   []textService   `json:"services"`
	Workspaces []textWorkspace `json:"workspaces"`
	Limits     struct {
		BodyBytes       int64 `json:"body_bytes"`
		HeaderBytes     int   `json:"header_bytes"`
		HeaderTimeoutMS int64 `json:"header_timeout_ms"`
		IdleTimeoutMS   int64 `json:"idle_timeout_ms"`
	} `json:"limits"`
}

type textRoute struct {
	Name        string       `json:"name"`
	Host        string       `json:"host"`
	Prefix      string       `json:"prefix"`
	Kind        string       `json:"kind"` // once, idempotent or stream
	Resumable   bool         `json:"resumable"`
	Public      bool         `json:"public"`
	TimeoutMS   int64        `json:"timeout_ms"`
	ObjectiveMS int64        `json:"objective_ms"`
	PauseMS     int64        `json:"pause_ms"`
	Priority    int          `json:"priority"`
	MaxAttempts int          `json:"max_attempts"`
	Targets     []textTarget `json:"targets"`
}

type textTarget struct {
	Service string `json:"service"`
	Weight  int    `json:"weight"`
}

type textService struct {
	Name   string `json:"name"`
	Engine *struct {
		Slots         int   `json:"slots"`
		KVTokens      int   `json:"kv_tokens"`
		KeepCopies    bool  `json:"keep_copies"`
		CopiesOnOrder bool  `json:"copies_on_order"`
		CopyLifeMS    int64 `json:"copy_life_ms"`
	} `json:"engine"`
}

type textWorkspace struct {
	Name     string   `json:"name"`
	Keys     []string `json:"keys"`
	Priority *int     `json:"priority"`
}

var textKinds = map[string]Kind{"once": Once, "idempotent": Idempotent, "stream": Stream}

// Parse reads and checks a list in the project's own form.
func Parse(data []byte) (*List, error) {
	var t text
	dec := json.NewDecoder(bytes.NewReader(data))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&t); err != nil {
		return nil, invalid("not readable: %v", err)
	}
	if _, err := dec.Token(); !errors.Is(err, io.EOF) {
		return nil, invalid("text behind the list")
	}
	l := &List{Version: t.Version, Keyed: len(t.Workspaces) > 0, Source: data}
	l.Limits = Limits{
		MaxBodyBytes: t.Limits.BodyBytes, MaxHeaderBytes: t.Limits.HeaderBytes,
		HeaderTimeout: ms(t.Limits.HeaderTimeoutMS), IdleTimeout: ms(t.Limits.IdleTimeoutMS),
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

func (t *textRoute) route() (Route, error) {
	kind, ok := textKinds[t.Kind]
	if !ok {
		return Route{}, invalid("route %q has kind %q; allowed: once, idempotent, stream", t.Name, t.Kind)
	}
	r := Route{
		Name: t.Name, Host: t.Host, Prefix: t.Prefix, Kind: kind, Resumable: t.Resumable, Public: t.Public,
		Timeout: ms(t.TimeoutMS), Objective: ms(t.ObjectiveMS), PauseObjective: ms(t.PauseMS),
		Priority: t.Priority, MaxAttempts: t.MaxAttempts,
	}
	for _, target := range t.Targets {
		r.Targets = append(r.Targets, Target(target))
	}
	return r, nil
}

func (t *textService) service() Service {
	s := Service{Name: t.Name}
	if e := t.Engine; e != nil {
		s.Engine = &EngineTraits{
			Slots: e.Slots, KVTokens: e.KVTokens, KeepCopies: e.KeepCopies,
			CopiesOnOrder: e.CopiesOnOrder, CopyLife: ms(e.CopyLifeMS),
		}
	}
	return s
}

func ms(n int64) time.Duration { return time.Duration(n) * time.Millisecond }
