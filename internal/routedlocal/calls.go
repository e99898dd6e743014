package routedlocal

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/amaranthshelf/amaranthshelf/internal/forward"
	"github.com/amaranthshelf/amaranthshelf/internal/routes"
	"github.com/amaranthshelf/amaranthshelf/internal/standin/routedengine"
	"github.com/amaranthshelf/amaranthshelf/internal/upstream"
)

// DeskService is the name of a service of calls. Calls under /book/ run once, those under
// /look/ are idempotent.
const DeskService = "desk"

// deskCallTime is the duration of a call.
const deskCallTime = 20 * time.Millisecond

// Interceptor may answer a call in place of the server, and reports whether it did.
type Interceptor func(s *routedengine.Server, w http.ResponseWriter, r *http.Request) bool

// DeskRoutes returns a route list with the routes of DeskService only.
func DeskRoutes() *routes.List {
	route := func(name string, kind routes.Kind) routes.Route {
		return routes.Route{
			Name: name, Host: Host, Prefix: "/" + name + "/", Kind: kind, MaxAttempts: 2, Timeout: 2 * time.Second,
			Targets: []routes.Target{{Service: DeskService, Weight: 1}}, Objective: 500 * time.Millisecond,
		}
	}
	return &routes.List{
		Version: 1, Source: []byte("desk"), Services: []routes.Service{{Name: DeskService}},
		Routes: []routes.Route{route("book", routes.Once), route("look", routes.Idempotent)},
	}
}

// AddDesk starts one server of a version of DeskService in each zone. intercept may be nil.
func (s *System) AddDesk(version string, intercept Interceptor) error {
	for i := range zoneCount {
		e := &routedengine.Server{
			Backend: upstream.Backend{
				ID: fmt.Sprintf("desk-%s-%d", version, i), Service: DeskService, Zone: fmt.Sprint("zone", i), Slots: 8, Version: version,
			},
			CallTime: deskCallTime, Intercept: intercept,
		}
		if err := s.AddServer(e); err != nil {
			return err
		}
	}
	return nil
}

// CallAnswer is the answer to one call.
type CallAnswer struct {
	Status int
	Body   []byte
}

// Call sends one call and returns its answer.
func Call(ctx context.Context, addr, path, id string) (CallAnswer, error) {
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+addr+path, http.NoBody)
	if err != nil {
		return CallAnswer{}, err
	}
	r.Host = Host
	r.Header.Set(forward.HeaderRequestID, id)
	resp, err := http.DefaultTransport.RoundTrip(r)
	if err != nil {
		return CallAnswer{}, err
	}
	body, err := io.ReadAll(resp.Body)
	return CallAnswer{resp.StatusCode, body}, errors.Join(err, resp.Body.Close())
}
