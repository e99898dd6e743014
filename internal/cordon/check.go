package cordon

import "github.com/amaranthshelf/amaranthshelf/internal/result"

// This file refuses orders that would leave nothing to serve requests with.
//
// The overload. An operator cordons one server after the other, or runs a script over a whole
// zone. Each order is harmless by itself, and the last one leaves a service without a server.
// The check counts the cordons in force. It is made by the VM that takes the order, on its own
// list, so two orders at the same moment may both pass.

// Server is a row of the list of backend servers.
type Server struct {
	ID, Address, Service, Zone string
	Draining                   bool
}

// CheckEngine returns an error with code CordonRefused if a cordon of a backend server would
// leave its service, or its zone, without a server that takes new work. It reports whether
// the server is listed.
func CheckEngine(servers []Server, cordoned Names, id string) (listed bool, err error) {
	usable := func(s *Server) bool { return !s.Draining && !cordoned.Has(s.ID, s.Address) }
	for i := range servers {
		s := &servers[i]
		if s.ID != id && s.Address != id {
			continue
		}
		listed = true
		if !usable(s) {
			continue // takes no new work already
		}
		inService, inZone := 0, 0
		for k := range servers {
			o := &servers[k]
			if !usable(o) || o.ID == id || o.Address == id {
				continue
			}
			if o.Service == s.Service {
				inService++
			}
			if o.Zone == s.Zone {
				inZone++
			}
		}
		switch {
		case inService == 0:
			return true, result.Newf(result.CordonRefused, "service %q would have no server that takes new work", s.Service)
		case inZone == 0:
			return true, result.Newf(result.CordonRefused, "zone %q would have no server that takes new work", s.Zone)
		}
	}
	return listed, nil
}

// CallerVM is a VM that serves callers.
type CallerVM struct{ ID, Endpoint string }

// CheckVM returns an error with code CordonRefused if a cordon of a VM would leave no VM to
// name to callers. It reports whether the VM serves callers now.
func CheckVM(vms []CallerVM, cordoned Names, id string) (listed bool, err error) {
	left := 0
	for _, vm := range vms {
		switch {
		case vm.ID == id || vm.Endpoint == id:
			listed = true
		case !cordoned.Has(vm.ID, vm.Endpoint):
			left++
		}
	}
	if left == 0 && !cordoned.Has(id) {
		return listed, result.Newf(result.CordonRefused, "no VM would be left to serve callers")
	}
	return listed, nil
}
