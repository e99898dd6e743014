package client

import (
	"context"
	"encoding/json"
	"net/http"
	"net/url"
)

// Control returns the state of the control group as its leader reports it, as raw JSON.
func (o *Operator) Control(ctx context.Context) (out json.RawMessage, err error) {
	return out, o.call(ctx, http.MethodGet, "/v1/control", nil, nil, &out)
}

// RemoveControl removes a control VM that will not return from the voters of the control group.
// It returns the state of the group without it.
func (o *Operator) RemoveControl(ctx context.Context, vm string) (out json.RawMessage, err error) {
	return out, o.call(ctx, http.MethodDelete, "/v1/control/"+url.PathEscape(vm), nil, nil, &out)
}
