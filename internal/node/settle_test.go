package node

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"

	"github.com/amaranthshelf/amaranthshelf/internal/inventory"
	"github.com/amaranthshelf/amaranthshelf/internal/membership"
)

// Guards against new requests that are refused for too long after VMs were replaced. Two VMs
// are replaced, and a third may die five seconds later. By then every VM has learned of the
// replacements and moved its journals, so all older lists must be settled, and new requests
// need not wait for the third VM. One second after the replacements no older list may be.
func TestOlderListsAreMigratedAfterTheLease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		part := membership.NewStateMachine()
		m := newMembers("vm1", "a", nil, inventory.NewReader("", zerolog.Nop()), zerolog.Nop())
		m.lease = 3 * time.Second
		join := func(id, incarnation string) {
			part.Execute(time.Now().UnixMilli(), &membership.Command{Join: &membership.Join{
				VM: membership.VM{ID: id, Incarnation: incarnation, Zone: "z" + id, Router: true}, Expected: 5,
			}})
			m.apply(part.Changes(m.currentView().Version))
		}
		for i := range 5 {
			join(fmt.Sprint("vm", i+1), "a")
		}
		if !m.hasFormed() {
			t.Fatal("list has not formed after 5 of 5 VMs have joined")
		}
		time.Sleep(time.Minute)
		join("vm2", "b")
		join("vm3", "b")
		settled := func() (n int) {
			for _, v := range m.Views() {
				if v.Migrated {
					n++
				}
			}
			return n
		}
		older := len(m.Views()) - 1
		time.Sleep(time.Second)
		if got := settled(); got != 0 {
			t.Errorf("%d of %d older lists settled after 1 s, want none: a VM may admit by them", got, older)
		}
		time.Sleep(4 * time.Second)
		if got := settled(); got != older {
			t.Errorf("%d of %d older lists settled after 5 s, want all", got, older)
		}
	})
}
