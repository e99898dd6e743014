package membership_test

import (
	"testing"

	"github.com/amaranthshelf/amaranthshelf/internal/membership"
)

// Measures the choice of one caller's endpoints and of one VM's probe targets at 330 VMs.
func BenchmarkAtTargetSize(b *testing.B) {
	vms := routers(330)
	b.Run("entry", func(b *testing.B) {
		for range b.N {
			membership.EndpointsFor(vms, noneAvoided, membership.EndpointQuery{Workspace: "w", Zone: "z1", Caller: "c"})
		}
	})
	b.Run("probe-targets", func(b *testing.B) {
		for range b.N {
			membership.ProbeTargets(vms[0].ID, vms)
		}
	})
}
