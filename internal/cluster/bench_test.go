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

// loadedHub is a control VM with the notices of many routers, each with a stream and
// its copy on two engines and the engines of a lost zone in doubt.
func loadedHub(tb testing.TB, routers, engines int) (h *Hub, notice func(router int) []byte) {
	tb.Helper()
	held := NewHeld(func(upstream.List) {})
	h = NewHub(peertest.New(1).VM("c1"), held, func() []string { return controls }, zerolog.Nop())
	l := modelsList(engines)
	held.Take(l.Backends, 0)
	h.TakeList(l)
	_, digest, _, _ := held.Now()
	turn := uint64(0)
	notice = func(router int) []byte {
		turn++
		n := Notice{Zone: "a", Callers: fmt.Sprintf("10.0.%d.1:8000", router), Ready: true, Held: digest, HeldAge: 100, WantLoad: true}
		n.Told = Told{Life: uint64(router + 1), Turn: turn, Use: map[string]placement.Use{
			l.Backends[router%engines].ID:     {Requests: 1, Tokens: 9000},
			l.Backends[(router+7)%engines].ID: {Tokens: 9000, Copies: 9000},
		}}
		for i := 0; i < engines; i += 5 {
			n.Told.Doubt = append(n.Told.Doubt, l.Backends[i].ID)
		}
		n.Spent = Spending{Life: uint64(router + 1), Turn: turn}
		data, err := codec.Marshal(n)
		if err != nil {
			tb.Fatal(err)
		}
		return data
	}
	for r := range routers {
		if _, err := h.serve(context.Background(), fmt.Sprint("r", r), notice(r)); err != nil {
			tb.Fatal(err)
		}
	}
	return h, notice
}

// BenchmarkNotice is a notice of one of 200 or 330 routers at the control VM that
// decides, with its answer encoded. Each router sends two and a half a second.
func BenchmarkNotice(b *testing.B) {
	for _, size := range []struct{ routers, engines int }{{200, 163}, {330, 710}} {
		b.Run(fmt.Sprintf("%d routers", size.routers), func(b *testing.B) {
			h, notice := loadedHub(b, size.routers, size.engines)
			notices := make([][]byte, size.routers)
			for r := range notices {
				notices[r] = notice(r)
			}
			bytes := 0
			b.ResetTimer()
			for i := range b.N {
				a, err := h.serve(context.Background(), fmt.Sprint("r", i%size.routers), notices[i%size.routers])
				if err != nil {
					b.Fatal(err)
				}
				data, err := codec.Marshal(a)
				if err != nil {
					b.Fatal(err)
				}
				bytes += len(data)
			}
			b.ReportMetric(float64(bytes)/float64(b.N), "B/answer")
		})
	}
}
