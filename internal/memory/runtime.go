package memory

import "runtime/debug"

// runtimeShare is the part of a VM's memory that is set as the soft limit of the Go runtime. A
// process that exceeds the VM's memory is killed.
const runtimeShare = 0.7

// VMBytes returns the memory of a VM in bytes, or what is assumed if its settings state none (0).
func VMBytes(stated int64) int64 {
	if stated <= 0 {
		return assumedVMBytes
	}
	return stated
}

// LimitRuntime sets the soft memory limit of the Go runtime for a VM with the given memory in
// bytes; 0: not stated.
func LimitRuntime(vmBytes int64) {
	if vmBytes > 0 {
		debug.SetMemoryLimit(int64(runtimeShare * float64(vmBytes)))
	}
}
