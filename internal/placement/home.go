package placement

import "github.com/cespare/xxhash/v2"

// Home returns the VM that a server is home to, by rendezvous hashing: a VM that
// comes or goes moves the servers of that VM only.
func Home(server string, vms []string) string {
	best, home := uint64(0), ""
	for _, vm := range vms {
		d := xxhash.New()
		_, _ = d.WriteString(vm)
		_, _ = d.WriteString("\x00")
		_, _ = d.WriteString(server)
		if h := d.Sum64(); home == "" || h > best {
			best, home = h, vm
		}
	}
	return home
}
