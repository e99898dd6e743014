package cluster

import "time"

// This file decides when a control VM reads the list of backend servers from the platform.
//
// The load pattern. The platform answers a limited number of calls per second from all
// VMs together, and the list of a large deployment has dozens of pages. If all VMs are
// killed at once, they restart without a list. If every control VM read it then, none
// would fetch all pages before its timeout, all would start over, and no caller would be
// served for half a minute.
//
// Therefore one control VM reads at a time: the leader. If the list is missing or becomes
// old, which is the sign of a frozen or partitioned reader, the others take over in order
// of rank, each with a further delay. A list that takes long to read is read less often,
// and its takeover age is higher.
//
// A list of ten thousand rows has dozens of pages. Read as often as a short one, it would take
// most of the calls that the platform answers, and every VM would receive each change by
// itself. Its reads are therefore further apart, but no further than maxReadInterval, because
// requests must stop reaching a leaving server within seconds.

// Constants of the read schedule.
const (
	readInterval = 400 * time.Millisecond
	// readIntervalPerRow lengthens the interval for long lists, up to maxReadInterval.
	readIntervalPerRow = 200 * time.Microsecond
	maxReadInterval    = 2 * time.Second
	// maxReadShare is the largest share of time that is spent on reading.
	maxReadShare = 0.6
	// takeoverAge is the age from which the reader of the list counts as lost.
	// takeoverAgePerRow is added for each row, because one more read may take that long.
	takeoverAge       = 1100 * time.Millisecond
	takeoverAgePerRow = 700 * time.Microsecond
	// maxTakeoverExtra bounds what the rows add. It covers maxReadInterval and a read.
	maxTakeoverExtra = 3 * time.Second
	// standbyDelay is the delay between the takeovers of two consecutive ranks.
	standbyDelay = 300 * time.Millisecond
)

// ReadSchedule holds the facts by which a control VM decides whether to read the list.
type ReadSchedule struct {
	Leader bool
	Rank   int // among the control VMs
	// HasList reports whether the VM holds a list; Rows and Age describe it.
	HasList bool
	Rows    int
	Age     time.Duration
	// Uptime is the uptime of the VM, SinceLastRead the time since it last began to read,
	// and LastReadDuration how long that read took.
	Uptime, SinceLastRead, LastReadDuration time.Duration
}

// Due reports whether the VM must read the list now.
func (r ReadSchedule) Due() bool {
	if r.SinceLastRead < max(readIntervalFor(r.Rows), time.Duration(float64(r.LastReadDuration)/maxReadShare)) {
		return false
	}
	delay := time.Duration(r.Rank) * standbyDelay
	switch {
	case r.Leader:
		return true
	case !r.HasList:
		return r.Uptime >= delay
	}
	return r.Age > takeoverAge+delay+min(time.Duration(r.Rows)*takeoverAgePerRow, maxTakeoverExtra)
}

// readIntervalFor returns how often a list with this many rows is read.
func readIntervalFor(rows int) time.Duration {
	return min(max(readInterval, time.Duration(rows)*readIntervalPerRow), maxReadInterval)
}

// staleAge returns the age from which a list with this many rows is overdue at a VM. A list is
// about half an interval old when it arrives, and is replaced an interval later. If it counted
// as overdue before that, every control VM would send each change to each VM.
func staleAge(rows int) time.Duration {
	return staleListAge + 2*(readIntervalFor(rows)-readInterval)
}
