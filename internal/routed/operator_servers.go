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

// operatorServers are the servers of a control process for operators and for callers that look up
// routers.
type operatorServers struct {
	log     zerolog.Logger
	heads   *headlimit.Account
	servers []*http.Server
}

// Serve binds addr and serves h in the background. A planned shutdown waits for the requests that
// were taken.
func (o *operatorServers) Serve(addr string, h http.Handler) error {
	server, err := Listen(addr, h, o.heads, o.log)
	if err != nil {
		return err
	}
	o.servers = append(o.servers, server)
	return nil
}

// drain takes no further requests and waits for those in progress. Otherwise their operators could
// not tell whether a change is in force.
func (o *operatorServers) drain() {
	ctx, cancel := context.WithTimeout(context.Background(), operatorDrainTimeout)
	defer cancel()
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
