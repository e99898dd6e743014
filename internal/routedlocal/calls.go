package routedlocal

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/amaranthshelf/amaranthshelf/internal/forward"
	"github.com/amaranthshelf/amaranthshelf/internal/routes"
	"github.com/amaranthshelf/amaranthshelf/internal/standin/routedengine"
	"github.com/amaranthshelf/amaranthshelf/internal/upstream"
)

// DeskService answers calls, under /book/ once each, under /look/ as often as wanted.
const DeskService = "desk"

// deskWork is how long a call takes.
const deskWork = 20 * time.Millisecond

// Spoil takes a call over, and reports whether it did.
type Interceptor func(s *routedengine.Server, w http.ResponseWriter, r *http.Request) bool

// DeskRoutes is a route list with the desk alone.
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

// AddDesk starts three servers of a version of the desk.
func (s *System) AddDesk(version string, spoil Interceptor) error {
	for i := range zones {
		e := &routedengine.Server{
			Backend: upstream.Backend{
				ID: fmt.Sprintf("desk-%s-%d", version, i), Service: DeskService, Zone: fmt.Sprint("zone", i), Slots: 8, Version: version,
			},
			CallTime: deskWork, Intercept: spoil,
		}
		if err := s.AddServer(e); err != nil {
			return err
		}
	}
	return nil
}

// Call sends one call and returns its status.
func Call(ctx context.Context, front, path, id string) (status int, err error) {
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+front+path, http.NoBody)
	if err != nil {
		return 0, err
	}
	r.Host = Host
	r.Header.Set(forward.HeaderRequestID, id)
	resp, err := http.DefaultTransport.RoundTrip(r)
	if err != nil {
		return 0, err
	}
	return resp.StatusCode, resp.Body.Close()
}
