package client

import (
	"context"
	"encoding/json"
	"net/http"
	"net/url"
	"time"
)

// Rollout is the state of the latest roll-out of a service.
type Rollout struct {
	Service string             `json:"service"`
	To      string             `json:"to"`
	Number  uint64             `json:"number"`
	Phase   string             `json:"phase"`
	Over    bool               `json:"over"` // completed or reverted
	Reason  string             `json:"reason,omitempty"`
	Share   float64            `json:"share"`
	Shares  map[string]float64 `json:"shares,omitempty"`
}

// StartRollout orders a roll-out of a service to a version over the duration d. Repeating
// the same order changes nothing, so it may be retried after a lost response.
func (o *Operator) StartRollout(ctx context.Context, service, to string, d time.Duration) (out Rollout, err error) {
	body, err := json.Marshal(map[string]any{"service": service, "to": to, "duration_ms": d.Milliseconds()})
	if err != nil {
		return out, Error.Wrap(err)
	}
	return out, o.call(ctx, http.MethodPost, "/v1/rollouts", nil, body, &out)
}

// Rollout returns the latest roll-out of a service.
func (o *Operator) Rollout(ctx context.Context, service string) (out Rollout, err error) {
	return out, o.call(ctx, http.MethodGet, "/v1/rollouts/"+url.PathEscape(service), nil, nil, &out)
}
