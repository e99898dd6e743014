package routed

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/amaranthshelf/amaranthshelf/internal/headlimit"
)

// operatorDrainTimeout bounds how long a planned shutdown waits for requests in progress. It covers
// an election, which a change may have to wait for.
const operatorDrainTimeout = 3 * time.Second

// operatorAnswerMargin is the part of operatorDrainTimeout that is left for the answers of requests that
// take longer.
const operatorAnswerMargin = 300 * time.Millisecond

// operatorServers are the servers of a control process for operators and for callers that look up
// routers.
type operatorServers struct {
	log     zerolog.Logger
	heads   *headlimit.Account
	servers []*http.Server
	// ending ends the requests in progress shortly before the end of a planned shutdown.
	ending      context.Context
	endRequests context.CancelFunc
}

func newOperatorServers(log zerolog.Logger, heads *headlimit.Account) operatorServers {
	ending, end := context.WithCancel(context.Background())
	return operatorServers{log: log, heads: heads, ending: ending, endRequests: end}
}

// Serve binds addr and serves h in the background. A planned shutdown waits for the requests that
// were taken.
func (o *operatorServers) Serve(addr string, h http.Handler) error {
	server, err := Listen(addr, o.bound(h), o.heads, o.log)
	if err != nil {
		return err
	}
	o.servers = append(o.servers, server)
	return nil
}

// bound returns h with requests that end in time for their answers.
func (o *operatorServers) bound(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		ctx, cancel := context.WithCancel(r.Context())
		defer cancel()
		defer context.AfterFunc(o.ending, cancel)()
		h.ServeHTTP(w, r.WithContext(ctx))
	})
}

// drain takes no further requests and waits for those in progress. Otherwise their operators could
// not tell whether a change is in force.
func (o *operatorServers) drain() {
	ctx, cancel := context.WithTimeout(context.Background(), operatorDrainTimeout)
	defer cancel()
	defer time.AfterFunc(operatorDrainTimeout-operatorAnswerMargin, o.endRequests).Stop()
	var wg sync.WaitGroup
	for _, server := range o.servers {
		wg.Go(func() {
			if err := server.Shutdown(ctx); err != nil {
				o.log.Warn().Err(err).Str("address", server.Addr).Msg("operators' requests are cut off by the shutdown")
			}
		})
	}
	wg.Wait()
}
