package cluster

import (
	"strings"

	"github.com/cespare/xxhash/v2"
)

// namedControls are the control VMs that one of them named in its last reply. They are the
// larger part of a reply, and hardly ever change.
type namedControls struct {
	digest uint64
	ids    []string
}

func digestOfControls(ids []string) uint64 { return xxhash.Sum64String(strings.Join(ids, " ")) }

// setControls sets the control VMs in a reply, unless the receiver holds them.
func (r *HeartbeatReply) setControls(ids []string, heartbeat *Heartbeat) {
	if heartbeat.ControlsDigest != 0 && heartbeat.ControlsDigest == digestOfControls(ids) {
		r.ControlsUnchanged = true
		return
	}
	r.Controls = ids
}

// controlsDigest returns the digest of the control VMs that a control VM named last; 0: none.
func (m *Member) controlsDigest(vm string) uint64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.namedControls[vm].digest
}

// controlsIn returns the control VMs that a reply names, and remembers them. It needs m.mu.
func (m *Member) controlsIn(vm string, reply *HeartbeatReply) []string {
	if !reply.ControlsUnchanged {
		m.namedControls[vm] = namedControls{digestOfControls(reply.Controls), reply.Controls}
	}
	return m.namedControls[vm].ids
}
