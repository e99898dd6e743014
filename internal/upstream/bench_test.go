package upstream

import (
	"fmt"
	"testing"
	"time"

	"github.com/rs/zerolog"
)

// BenchmarkRoutersChange measures a change of the router set at a router that knows 330
// routers and 710 engines. While all VMs are restarted in turn, such a change comes with
// every notice.
func BenchmarkRoutersChange(b *testing.B) {
	f := NewFleet(NewPool(), zerolog.Nop())
	var rows []Backend
	for i := range 710 {
		rows = append(rows, Backend{ID: fmt.Sprintf("i-%010x", i*7919), Service: "m", Zone: "a", Address: fmt.Sprint("10.0.0.1:", i)})
	}
	f.Apply(List{Backends: rows, AsOf: time.Now()})
	var routers []string
	for i := range 330 {
		routers = append(routers, fmt.Sprintf("10.%d.%d.10:7221", i/40, i%40))
	}
	for i := range b.N {
		f.SetRouters(routers[0], routers[:329+i%2])
	}
}
