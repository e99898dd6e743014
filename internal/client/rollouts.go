package client

import (
	"context"
	"encoding/json"
	"net/http"
	"net/url"
	"time"
)

// Rollout is the state of a service's newest roll-out.
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

// StartRollout orders a roll-out. The same order again changes nothing, so that it may be
// sent again after a lost answer.
func (o *Operator) StartRollout(ctx context.Context, service, to string, d time.Duration) (out Rollout, err error) {
	body, err := json.Marshal(map[string]any{"service": service, "to": to, "duration_ms": d.Milliseconds()})
	if err != nil {
		return out, Error.Wrap(err)
	}
	return out, o.call(ctx, http.MethodPost, "/v1/rollouts", nil, body, &out)
}

// Rollout returns the newest roll-out of a service.
func (o *Operator) Rollout(ctx context.Context, service string) (out Rollout, err error) {
	return out, o.call(ctx, http.MethodGet, "/v1/rollouts/"+url.PathEscape(service), nil, nil, &out)
}
