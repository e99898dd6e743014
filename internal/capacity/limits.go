// Package capacity measures how much of its own limits a VM uses, and decides when it refuses
// requests and when it closes callers' connections. It is pure: samples, time and randomness
// are inputs.
//
// The overload. Callers choose among VMs whose processors and links differ by a factor of
// three. A small VM reaches its limit while the others are half idle. It then answers late
// whatever it has accepted, and it can't tell anyone, since its heartbeats are late as well.
//
// Therefore each VM measures its Load. Control VMs name loaded VMs to fewer callers. A VM at
// its limit refuses a part of the new requests at once, and one far above the mean of all VMs
// closes some of its callers' connections, so that these ask for addresses again.
package capacity

import (
	"math"
	"time"
)

// Limits are the resources that a VM may use, as its settings state them. 0: not stated.
type Limits struct {
	Cores             float64 // processor cores
	LinkBitsPerSecond float64 // each way
	Descriptors       int     // open files and connections
	MemoryBytes       int64
}

// Stated reports whether the size of the VM is known. Without it the VM can't be compared
// with others.
func (l Limits) Stated() bool { return l.Cores > 0 || l.LinkBitsPerSecond > 0 }

// Units of Size.
const (
	coreUnit = 0.001 // cores
	linkUnit = 100e3 // bits a second
)

// Size is the part of the Limits that is compared between VMs, as heartbeats carry it. 0: not
// stated. A larger limit than fits counts as the largest that does.
type Size struct {
	_     struct{} `cbor:",toarray"`
	Cores uint16   // tenths of a percent of a core
	Link  uint16   // tenths of Mbit/s
}

// Size returns the VM's size.
func (l Limits) Size() Size {
	return Size{Cores: units(l.Cores / coreUnit), Link: units(l.LinkBitsPerSecond / linkUnit)}
}

// units rounds a number of units. A positive one is at least 1, since 0 means not stated.
func units(n float64) uint16 {
	if !(n > 0) {
		return 0
	}
	return uint16(min(max(1, math.Round(n)), math.MaxUint16))
}

// Thousandths returns a load as heartbeats carry it. A known load is at least 1; 0 means
// unknown.
func Thousandths(load float64) uint16 { return units(min(load, 1) * 1000) }

// SampleInterval is the time between two samples of a Meter.
const SampleInterval = time.Second
