package placement

import "github.com/cespare/xxhash/v2"

// RendezvousRank returns the rank of a VM in a server's rendezvous order. A VM that joins
// or leaves moves those with a higher rank by one and changes nothing else.
func RendezvousRank(server, vm string, vms []string) int {
	own, rank := rendezvousWeight(server, vm), 0
	for _, other := range vms {
		if rendezvousWeight(server, other) > own {
			rank++
		}
	}
	return rank
}

func rendezvousWeight(server, vm string) uint64 {
	d := xxhash.New()
	_, _ = d.WriteString(vm)
	_, _ = d.WriteString("\x00")
	_, _ = d.WriteString(server)
	return d.Sum64()
}
