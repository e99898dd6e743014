package membership_test

import (
	"testing"

	"github.com/amaranthshelf/amaranthshelf/internal/membership"
)

// One entry answer, and one VM's choice of whom to watch, at 330 VMs.
func BenchmarkAtTargetSize(b *testing.B) {
	vms := routers(330)
	b.Run("entry", func(b *testing.B) {
		for range b.N {
			membership.EndpointsFor(vms, none, membership.EndpointQuery{Workspace: "w", Zone: "z1", Caller: "c"})
		}
	})
	b.Run("watches", func(b *testing.B) {
		for range b.N {
			membership.ProbeTargets(vms[0].ID, vms)
		}
	})
}
