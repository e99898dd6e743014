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

// fullHub is a control VM with the notices of many routers, each with a stream and its
// copy on two engines, a call, and the engines of a lost zone in doubt.
type fullHub struct {
	hub     *Hub
	routers []string
	engines []upstream.Backend
	digest  uint64
	turn    uint64
}

func newFullHub(tb testing.TB, routers, engines int) *fullHub {
	tb.Helper()
	held := NewListReplica(func(upstream.List) {})
	f := &fullHub{hub: NewHub(peertest.New(1).VM("c1"), held, func() []string { return controls }, zerolog.Nop())}
	l := modelsList(engines)
	for i := range l.Backends {
		l.Backends[i].ID = fmt.Sprintf("i-%010x", i*7919)
	}
	held.Update(l.Backends, 0)
	f.hub.SetBackends(l)
	_, f.digest, _, _ = held.Current()
	f.engines = l.Backends
	for r := range routers {
		f.routers = append(f.routers, fmt.Sprintf("10.%d.%d.10:7221", r/40, r%40))
		f.serve(tb, r, f.notice(tb, r, true, 0))
	}
	return f
}

// notice is a router's notice, encoded; the rest of what it wants is as given.
func (f *fullHub) notice(tb testing.TB, router int, wantUse bool, held uint64) []byte {
	f.turn++
	n := Heartbeat{
		Zone: "a", Endpoint: f.routers[router], Ready: true, ListDigest: f.digest, ListAgeMS: 100,
		WantSummary: true, WantUse: wantUse, RoutersDigest: held,
	}
	id := func(i int) string { return f.engines[i%len(f.engines)].ID }
	n.UseReport = UseReport{Incarnation: uint64(router + 1), Seq: f.turn, Use: map[string]placement.Usage{
		id(router): {Requests: 1, Tokens: 9000}, id(router + 7): {Tokens: 9000, Copies: 9000}, "call": {Requests: 1},
	}}
	for i := 0; i < len(f.engines); i += 5 {
		n.UseReport.Suspected = append(n.UseReport.Suspected, id(i))
	}
	n.Spent = RetrySpending{Incarnation: uint64(router + 1), Seq: f.turn}
	data, err := codec.Marshal(n)
	if err != nil {
		tb.Fatal(err)
	}
	return data
}

// serve returns the answer to a notice, and how many bytes it has.
func (f *fullHub) serve(tb testing.TB, router int, notice []byte) (HeartbeatReply, int) {
	out, err := f.hub.serve(context.Background(), f.routers[router], notice)
	if err != nil {
		tb.Fatal(err)
	}
	data, err := codec.Marshal(out)
	if err != nil {
		tb.Fatal(err)
	}
	var a HeartbeatReply
	if err := codec.Unmarshal(data, &a); err != nil {
		tb.Fatal(err)
	}
	return a, len(data)
}

// BenchmarkNotice is a notice of one of 200 or 330 routers at the control VM that
// decides, with its answer encoded and decoded. Each router sends two and a half a
// second, of which one in three wants the use of engines.
func BenchmarkNotice(b *testing.B) {
	for _, size := range []struct{ routers, engines int }{{200, 163}, {330, 710}} {
		b.Run(fmt.Sprintf("%d routers", size.routers), func(b *testing.B) {
			f := newFullHub(b, size.routers, size.engines)
			first, _ := f.serve(b, 0, f.notice(b, 0, true, 0))
			var o others
			if _, err := o.learn(&first, nil, f.hub.summed.made); err != nil {
				b.Fatal(err)
			}
			notices := make([][]byte, size.routers)
			for r := range notices {
				notices[r] = f.notice(b, r, r%3 == 0, o.digest)
			}
			bytes := 0
			b.ResetTimer()
			for i := range b.N {
				_, n := f.serve(b, i%size.routers, notices[i%size.routers])
				bytes += n
			}
			b.ReportMetric(float64(bytes)/float64(b.N), "B/answer")
		})
	}
}
