package client

import (
	"context"
	"encoding/json"
	"net/http"
)

// PutRoutes puts a route list in force. The list carries its version, so that a
// resend after a lost answer is the same change.
func (o *Operator) PutRoutes(ctx context.Context, list []byte) (out RoutesResult, err error) {
	return out, o.call(ctx, http.MethodPut, "/v1/routes", nil, list, &out)
}

// RoutesWritten is the answer to a route list.
type RoutesResult struct {
	Version uint64 `json:"version"`
	InForce uint64 `json:"in_force"` // higher where a later list had overtaken this one
}

// Routes returns the route list in force as it was sent.
func (o *Operator) Routes(ctx context.Context) (out json.RawMessage, err error) {
	return out, o.call(ctx, http.MethodGet, "/v1/routes", nil, nil, &out)
}
