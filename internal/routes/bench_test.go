package routes

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/amaranthshelf/amaranthshelf/internal/codec"
)

// benchList is a list with names as random as operators' are.
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

// What a change of the list costs each router: bytes on its link, time to unpack,
// decode and prepare it.
func BenchmarkChange(b *testing.B) {
	for _, size := range []struct{ routes, workspaces int }{{1_400, 24}, {4_248, 24}, {4_248, 6_600}} {
		b.Run(fmt.Sprintf("%d_routes_%d_workspaces", size.routes, size.workspaces), func(b *testing.B) {
			p := &StateMachine{held: *benchList(size.routes, size.workspaces)}
			whole := p.Changes(0)
			packed, err := codec.Pack(whole)
			if err != nil {
				b.Fatal(err)
			}
			for b.Loop() {
				plain, err := codec.Unpack(packed, len(whole))
				if err != nil {
					b.Fatal(err)
				}
				var l List
				if err := codec.Unmarshal(plain, &l); err != nil {
					b.Fatal(err)
				}
				NewTable(&l)
			}
			b.ReportMetric(float64(len(whole)), "bytes")
			b.ReportMetric(float64(len(packed)), "packed-bytes")
		})
	}
}
