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

// Candidates implements relay.Members.
func (m *members) Candidates() []generation.Candidate {
	var out []generation.Candidate
	for _, vm := range m.vms {
		out = append(out, generation.Candidate{VM: vm.ID, Zone: vm.Zone})
	}
	return out
}

// Reachable implements relay.Members.
func (m *members) Reachable(string) bool { return true }

func (n *Node) startMembers() {
	n.members = newMembers(n.s.Self.ID, n.s.VMs)
	n.network = peer.NewNetwork(n.s.Self.ID, n.s.PeerToken, n.members.peerAddr, n.log)
}
