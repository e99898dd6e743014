package client

import (
	"context"
	"encoding/json"
	"net/http"
	"net/url"
)

// Control returns the control group as its leader sees it.
func (o *Operator) Control(ctx context.Context) (out json.RawMessage, err error) {
	return out, o.call(ctx, http.MethodGet, "/v1/control", nil, nil, &out)
}

// RemoveControl takes the vote from a control VM that will not come back, and
// returns the group without it.
func (o *Operator) RemoveControl(ctx context.Context, vm string) (out json.RawMessage, err error) {
	return out, o.call(ctx, http.MethodDelete, "/v1/control/"+url.PathEscape(vm), nil, nil, &out)
}
