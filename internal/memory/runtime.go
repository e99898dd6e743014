package memory

import "runtime/debug"

// runtimeShare is the part of a VM's memory that is set as the soft limit of the Go runtime. A
// process that exceeds the VM's memory is killed.
const runtimeShare = 0.7

// LimitRuntime sets the soft memory limit of the Go runtime for a VM with the given memory in
// bytes; 0: not stated.
func LimitRuntime(vmBytes int64) {
	if vmBytes > 0 {
		debug.SetMemoryLimit(int64(runtimeShare * float64(vmBytes)))
	}
}
