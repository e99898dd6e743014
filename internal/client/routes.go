package client

import (
	"context"
	"encoding/json"
	"net/http"
)

// PutRoutes puts a route list in force. The list contains its version, so a retry after a lost
// response is the same change.
func (o *Operator) PutRoutes(ctx context.Context, list []byte) (out RoutesResult, err error) {
	return out, o.call(ctx, http.MethodPut, "/v1/routes", nil, list, &out)
}

// RoutesResult is the response to PutRoutes.
type RoutesResult struct {
	Version uint64 `json:"version"`
	InForce uint64 `json:"in_force"` // higher than Version if a later list has superseded this one
}

// Routes returns the route list in force, as raw JSON as it was sent.
func (o *Operator) Routes(ctx context.Context) (out json.RawMessage, err error) {
	return out, o.call(ctx, http.MethodGet, "/v1/routes", nil, nil, &out)
}
