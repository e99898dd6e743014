package cluster

import (
	"context"
	"fmt"
	"testing"

	"github.com/rs/zerolog"

	"github.com/amaranthshelf/amaranthshelf/internal/codec"
	"github.com/amaranthshelf/amaranthshelf/internal/peer/peertest"
	"github.com/amaranthshelf/amaranthshelf/internal/placement"
	"github.com/amaranthshelf/amaranthshelf/internal/upstream"
)

// loadedHub is a control VM with the heartbeats of many routers. Each has a stream and its
// backup copy on two engines and a call, and suspects the engines of a lost zone.
type loadedHub struct {
	hub     *Hub
	routers []string
	engines []upstream.Backend
	digest  uint64
	seq     uint64
}

func newLoadedHub(tb testing.TB, routers, engines int) *loadedHub {
	tb.Helper()
	list := NewListReplica(func(upstream.List) {})
	f := &loadedHub{hub: NewHub(peertest.New(1).VM("c1"), list, func() []string { return controls }, zerolog.Nop())}
	l := modelsList(engines)
	for i := range l.Backends {
		l.Backends[i].ID = fmt.Sprintf("i-%010x", i*7919)
	}
	list.Update(l.Backends, 0)
	f.hub.SetBackends(l)
	_, f.digest, _, _ = list.Current()
	f.engines = l.Backends
	for r := range routers {
		f.routers = append(f.routers, fmt.Sprintf("10.%d.%d.10:7221", r/40, r%40))
		f.serve(tb, r, f.heartbeat(tb, r, true, 0))
	}
	return f
}

// heartbeat returns a router's encoded heartbeat. routersDigest is that of the router names
// that it holds.
func (f *loadedHub) heartbeat(tb testing.TB, router int, wantUse bool, routersDigest uint64) []byte {
	f.seq++
	heartbeat := Heartbeat{
		Zone: "a", Endpoint: f.routers[router], Ready: true, ListDigest: f.digest, ListAgeMS: 100,
		WantSummary: true, WantUse: wantUse, RoutersDigest: routersDigest,
	}
	id := func(i int) string { return f.engines[i%len(f.engines)].ID }
	heartbeat.UseReport = UseReport{Incarnation: uint64(router + 1), Seq: f.seq, Use: map[string]placement.Usage{
		id(router): {Requests: 1, Tokens: 9000}, id(router + 7): {Tokens: 9000, Copies: 9000}, "call": {Requests: 1},
	}}
	for i := 0; i < len(f.engines); i += 5 {
		heartbeat.UseReport.Suspected = append(heartbeat.UseReport.Suspected, id(i))
	}
	heartbeat.Spent = RetrySpending{Incarnation: uint64(router + 1), Seq: f.seq}
	data, err := codec.Marshal(heartbeat)
	if err != nil {
		tb.Fatal(err)
	}
	return data
}

// serve returns the reply to a heartbeat and its size in bytes.
func (f *loadedHub) serve(tb testing.TB, router int, heartbeat []byte) (HeartbeatReply, int) {
	out, err := f.hub.serveHeartbeat(context.Background(), f.routers[router], heartbeat)
	if err != nil {
		tb.Fatal(err)
	}
	data, err := codec.Marshal(out)
	if err != nil {
		tb.Fatal(err)
	}
	var reply HeartbeatReply
	if err := codec.Unmarshal(data, &reply); err != nil {
		tb.Fatal(err)
	}
	return reply, len(data)
}

// BenchmarkHeartbeat measures a heartbeat of one of 200 or 330 routers at the scheduling
// control VM, with its reply encoded and decoded. Each router sends 2.5 a second, of which
// every third requests the use of engines.
func BenchmarkHeartbeat(b *testing.B) {
	for _, size := range []struct{ routers, engines int }{{200, 163}, {330, 710}} {
		b.Run(fmt.Sprintf("%d routers", size.routers), func(b *testing.B) {
			f := newLoadedHub(b, size.routers, size.engines)
			first, _ := f.serve(b, 0, f.heartbeat(b, 0, true, 0))
			var o peerState
			if _, err := o.learn(&first, nil, f.hub.summary.builtAt); err != nil {
				b.Fatal(err)
			}
			heartbeats := make([][]byte, size.routers)
			for r := range heartbeats {
				heartbeats[r] = f.heartbeat(b, r, r%3 == 0, o.routersDigest)
			}
			bytes := 0
			b.ResetTimer()
			for i := range b.N {
				_, n := f.serve(b, i%size.routers, heartbeats[i%size.routers])
				bytes += n
			}
			b.ReportMetric(float64(bytes)/float64(b.N), "B/answer")
		})
	}
}
