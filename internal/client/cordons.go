package client

import (
	"context"
	"crypto/rand"
	"encoding/json"
	"net/http"
	"net/url"
	"time"
)

// Cordon is a server or VM that is out of service by order of an operator.
type Cordon struct {
	Kind        string `json:"kind"` // engine or vm
	ID          string `json:"id"`
	Reason      string `json:"reason,omitempty"`
	RemainingMS int64  `json:"remaining_ms"`
	EndMS       int64  `json:"end_ms"` // on the control group's clock, Unix milliseconds
	Listed      bool   `json:"listed"` // the answering VM knows such a server or VM
}

// PutCordon takes a server or VM out of service for the duration d. The same cordon again
// replaces its end and reason.
func (o *Operator) PutCordon(ctx context.Context, kind, id string, d time.Duration, reason string) (out Cordon, err error) {
	body, err := json.Marshal(map[string]any{"for_ms": d.Milliseconds(), "reason": reason})
	if err != nil {
		return out, Error.Wrap(err)
	}
	return out, o.call(ctx, http.MethodPut, cordonPath(kind, id), newKey(), body, &out)
}

// RemoveCordon puts a server or VM into service again.
func (o *Operator) RemoveCordon(ctx context.Context, kind, id string) error {
	var out struct{}
	return o.call(ctx, http.MethodDelete, cordonPath(kind, id), newKey(), nil, &out)
}

// Cordons returns the cordons in force.
func (o *Operator) Cordons(ctx context.Context) ([]Cordon, error) {
	var out struct {
		Cordons []Cordon `json:"cordons"`
	}
	err := o.call(ctx, http.MethodGet, "/v1/cordons", nil, nil, &out)
	return out.Cordons, err
}

func cordonPath(kind, id string) string {
	return "/v1/cordons/" + url.PathEscape(kind) + "/" + url.PathEscape(id)
}

// newKey returns the header with the key of a new request. Its resends after lost responses
// carry the same key, and are carried out once.
func newKey() http.Header { return http.Header{"Idempotency-Key": {rand.Text()}} }
