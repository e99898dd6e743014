package placement

import "github.com/cespare/xxhash/v2"

// Turn returns the place of a VM in a server's line, by rendezvous hashing: a VM
// that comes or goes moves those behind it by one, and nothing else.
func RendezvousRank(server, vm string, vms []string) int {
	own, turn := weight(server, vm), 0
	for _, other := range vms {
		if weight(server, other) > own {
			turn++
		}
	}
	return turn
}

func weight(server, vm string) uint64 {
	d := xxhash.New()
	_, _ = d.WriteString(vm)
	_, _ = d.WriteString("\x00")
	_, _ = d.WriteString(server)
	return d.Sum64()
}
