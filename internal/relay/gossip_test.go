package relay

import (
	"fmt"
	"testing"

	"github.com/amaranthshelf/amaranthshelf/internal/generation"
)

// One VM tells its neighbours of a death, and each that hears of it for the
// first time passes it on. All hear, over a bounded number of connections.
func TestSuspicionReportReachesEveryVM(t *testing.T) {
	for _, n := range []int{1, 3, 11, 13, 14, 100, 330} {
		var all []generation.Candidate
		for i := range n {
			all = append(all, generation.Candidate{VM: fmt.Sprint("vm", i)})
		}
		steps := map[string]int{"vm0": 0}
		queue := []string{"vm0"}
		for len(queue) > 0 {
			from := queue[0]
			vms, pass := neighbours(from, all)
			if len(vms) > directMost {
				t.Fatalf("%d VMs: %d neighbours", n, len(vms))
			}
			first := from == "vm0"
			queue = queue[1:]
			for _, vm := range vms {
				if _, known := steps[vm]; !known && (first || pass) {
					steps[vm] = steps[from] + 1
					queue = append(queue, vm)
					if steps[vm] > 9 {
						t.Fatalf("%d VMs: %s heard after %d steps", n, vm, steps[vm])
					}
				}
			}
		}
		if len(steps) != n {
			t.Errorf("%d of %d VMs heard", len(steps), n)
		}
	}
}
