package relay

import (
	"fmt"
	"testing"

	"github.com/amaranthshelf/amaranthshelf/internal/generation"
)

// A VM reports a death to its neighbours, and each VM forwards the report when it first
// receives it. The report must reach every VM over a bounded number of connections.
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
			vms, forward := neighbours(from, all)
			if len(vms) > maxDirectPeers {
				t.Fatalf("%d VMs: got %d neighbours, want at most 12", n, len(vms))
			}
			first := from == "vm0"
			queue = queue[1:]
			for _, vm := range vms {
				if _, known := steps[vm]; !known && (first || forward) {
					steps[vm] = steps[from] + 1
					queue = append(queue, vm)
					if steps[vm] > 9 {
						t.Fatalf("%d VMs: report reached %s after %d steps, want at most 9", n, vm, steps[vm])
					}
				}
			}
		}
		if len(steps) != n {
			t.Errorf("report reached %d of %d VMs, want all", len(steps), n)
		}
	}
}
