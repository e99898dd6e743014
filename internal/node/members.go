package node

import (
	"github.com/amaranthshelf/amaranthshelf/internal/generation"
	"github.com/amaranthshelf/amaranthshelf/internal/peer"
	"github.com/amaranthshelf/amaranthshelf/internal/settings"
)

// members is the list of VMs from the settings.
type members struct {
	self string
	vms  []settings.VM
}

func newMembers(self string, vms []settings.VM) *members {
	return &members{self: self, vms: vms}
}

func (m *members) peerAddr(id string) (string, bool) {
	for _, vm := range m.vms {
		if vm.ID == id {
			return vm.Peer, true
		}
	}
	return "", false
}

// staticVersion is the version of a list that never changes. Its VMs carry no
// incarnation: see docs/design/journals.md for what that leaves open.
const staticVersion = 1

// Views implements relay.Members.
func (m *members) Views() []generation.Membership {
	view := generation.Membership{Version: staticVersion}
	for _, vm := range m.vms {
		view.Candidates = append(view.Candidates, generation.Candidate{VM: vm.ID, Zone: vm.Zone})
	}
	return []generation.Membership{view}
}

// Reachable implements relay.Members.
func (m *members) Reachable(string) bool { return true }

func (n *Node) startMembers() {
	n.members = newMembers(n.s.Self.ID, n.s.VMs)
	n.network = peer.NewNetwork(n.s.Self.ID, n.s.PeerToken, n.members.peerAddr, n.log)
}
