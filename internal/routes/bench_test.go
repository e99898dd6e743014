package routes

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/amaranthshelf/amaranthshelf/internal/codec"
)

// benchList returns a list with random names, which compress as poorly as real ones.
func benchList(routes, workspaces int) *List {
	rng := rand.New(rand.NewPCG(1, 2))
	word := func(n int) string {
		out := make([]byte, n)
		for i := range out {
			out[i] = byte('a' + rng.IntN(26))
		}
		return string(out)
	}
	l := &List{Version: 1, Keyed: true, Services: []Service{{Name: "diagnosis"}}}
	for range routes {
		l.Routes = append(l.Routes, Route{
			Name: "r-" + word(7), Host: "shelf.example", Prefix: "/" + word(8) + "/", Kind: Idempotent,
			Targets: []Target{{Service: "diagnosis", Weight: 1}}, Timeout: 1, MaxAttempts: 2,
		})
	}
	for range workspaces {
		l.Workspaces = append(l.Workspaces, Workspace{Name: word(7), Keys: []string{word(20), word(20)}})
	}
	return l
}

// BenchmarkChange measures the cost of a changed list for one router: the bytes on its link
// and the time to unpack, decode and index the list.
func BenchmarkChange(b *testing.B) {
	for _, size := range []struct{ routes, workspaces int }{{1_400, 24}, {4_248, 24}, {4_248, 6_600}} {
		b.Run(fmt.Sprintf("%d_routes_%d_workspaces", size.routes, size.workspaces), func(b *testing.B) {
			p := &StateMachine{list: *benchList(size.routes, size.workspaces)}
			encoded := p.Changes(0)
			packed, err := codec.Pack(encoded)
			if err != nil {
				b.Fatal(err)
			}
			for b.Loop() {
				plain, err := codec.Unpack(packed, len(encoded))
				if err != nil {
					b.Fatal(err)
				}
				var l List
				if err := codec.Unmarshal(plain, &l); err != nil {
					b.Fatal(err)
				}
				NewTable(&l)
			}
			b.ReportMetric(float64(len(encoded)), "bytes")
			b.ReportMetric(float64(len(packed)), "packed-bytes")
		})
	}
}
