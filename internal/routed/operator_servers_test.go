package routed

import (
	"context"
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"

	"github.com/amaranthshelf/amaranthshelf/internal/result"
	"github.com/amaranthshelf/amaranthshelf/internal/result/resulthttp"
)

// closingListener is a pipeListener that its server can close.
type closingListener struct{ pipeListener }

func (l closingListener) Close() error {
	close(l.conns)
	return nil
}

// slowOrder answers an order that the control group does not commit within operatorCallTimeout.
func slowOrder(w http.ResponseWriter, r *http.Request) {
	ctx, cancel := context.WithTimeout(r.Context(), operatorCallTimeout)
	defer cancel()
	<-ctx.Done()
	resulthttp.Write(w, "", result.New(result.OutcomeUnknown))
}

// Guards against orders that are cut off by the planned end of a control process, since the group has no
// majority meanwhile: their operators would not learn that the outcome is unknown.
func TestDrainAnswersOrdersThatTakeLonger(t *testing.T) {
	for _, before := range []time.Duration{0, time.Second, operatorCallTimeout - operatorDrainTimeout/2} {
		synctest.Test(t, func(t *testing.T) {
			o := newOperatorServers(zerolog.Nop(), nil)
			near, far := net.Pipe()
			l := closingListener{pipeListener{make(chan net.Conn, 1)}}
			l.conns <- far
			server := &http.Server{Handler: o.bound(http.HandlerFunc(slowOrder))}
			o.servers = append(o.servers, server)
			go func() { _ = server.Serve(l) }()
			status := make(chan int, 1)
			go func() { status <- askOn(near, "") }()
			time.Sleep(before)
			synctest.Wait()
			o.drain()
			_ = server.Close() // the process ends
			if got, want := <-status, result.Lookup(result.OutcomeUnknown).Status; got != want {
				t.Errorf("order sent %v before the shutdown: status %d, want %d", before, got, want)
			}
		})
	}
}
