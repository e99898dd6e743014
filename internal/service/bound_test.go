package service_test

import (
	"context"
	"expvar"
	"fmt"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"

	"github.com/amaranthshelf/amaranthshelf/internal/call"
	"github.com/amaranthshelf/amaranthshelf/internal/control"
	"github.com/amaranthshelf/amaranthshelf/internal/explain"
	"github.com/amaranthshelf/amaranthshelf/internal/result"
	"github.com/amaranthshelf/amaranthshelf/internal/service"
)

// unreachable is a service whose servers, but for one, cannot be reached. That one does not answer.
type unreachable struct {
	service.Sender
	reached string
}

func (u unreachable) Dial(ctx context.Context, addr string) (service.Connection, error) {
	if addr == u.reached {
		return silentConnection{}, nil
	}
	ctx, cancel := context.WithTimeout(ctx, 500*time.Millisecond)
	defer cancel()
	<-ctx.Done()
	return nil, ctx.Err()
}

// silentConnection takes a call and does not answer it.
type silentConnection struct{}

func (silentConnection) Send(ctx context.Context, _ *service.Request, permit func() error) (*call.Answer, bool, error) {
	if err := permit(); err != nil {
		return nil, false, err
	}
	<-ctx.Done()
	return nil, true, ctx.Err()
}

func (silentConnection) Close() {}

// Guards against calls that a VM on its way out takes and that outlast it, since most of their servers cannot
// be reached: it is asked again before the claim, and from then on a call keeps its bound.
func TestCallsKeepTheirBound(t *testing.T) {
	const untilRefused = 3 * time.Second
	for down, want := range map[int]result.Code{0: result.OutcomeUnknown, 5: result.OutcomeUnknown, 20: result.ShuttingDown} {
		synctest.Test(t, func(t *testing.T) {
			backends := staticBackends{}
			for i := range down + 1 {
				backends = append(backends, service.Backend{Name: fmt.Sprint(i), Addr: fmt.Sprint(i)})
			}
			d := service.NewDispatcher(service.Config{VM: "vm1", Incarnation: "i1"}, service.Deps{
				Control:  control.NewLocalClient(newState()),
				Sender:   unreachable{reached: fmt.Sprint(down)},
				Backends: backends, Explain: explain.NewRing(8), Metrics: new(expvar.Map).Init(), Log: zerolog.Nop(),
			})
			began := time.Now()
			_, err := d.Once(t.Context(), &service.Call{
				Workspace: "coop", Service: "dispatch", Key: "k", Request: service.Request{Method: http.MethodPost, Path: "/", Header: http.Header{}},
				MayClaim: func() error {
					if time.Since(began) > untilRefused {
						return result.New(result.ShuttingDown)
					}
					return nil
				},
			})
			if result.CodeOf(err) != want {
				t.Errorf("with %d servers down: got %v, want code %d", down, err, want)
			}
			if took := time.Since(began); took > untilRefused+service.MaxCallTime {
				t.Errorf("with %d servers down: took %v, want %v at most", down, took, untilRefused+service.MaxCallTime)
			}
		})
	}
}
