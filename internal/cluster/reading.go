package cluster

import "time"

// When a control VM reads the list of backend servers from the platform.
//
// The load pattern. The platform answers so many calls a second, of all VMs together, and
// a large deployment's list is dozens of pages. All VMs are killed at once and start
// again, none with a list: were each control VM to read it then, none would get through
// its pages before its time is over, all would begin again, and nobody be served for half
// a minute.
//
// So one reads at a time: the leader, and where the list is missing or grows old, which is
// how a frozen or cut-off reader shows, the next by rank, each some time after the one
// before it. A list that takes long to read is read less often, and missed later.

// Timings of reading.
const (
	readEvery = 400 * time.Millisecond
	// readPart of the time at most is spent on reading.
	readPart = 0.6
	// takeOverAge: a list this old has no reader any more. Beside it, takeOverRow for
	// each of its rows: that long may one more reading take.
	takeOverAge = 1100 * time.Millisecond
	takeOverRow = 700 * time.Microsecond
	// standbyStep is between the turns of two ranks.
	standbyStep = 300 * time.Millisecond
)

// Reading is a control VM's part in reading the list.
type ReadSchedule struct {
	Leader bool
	Rank   int // among the control VMs
	// Listed: a list is held, of Rows, as old as Age.
	HasList bool
	Rows    int
	Age     time.Duration
	// Up is how long the VM has been up, Since how long ago it last began to read, and
	// Took how long that took.
	Uptime, SinceLastRead, LastReadDuration time.Duration
}

// Due reports whether the VM is to read now.
func (r ReadSchedule) Due() bool {
	if r.SinceLastRead < max(readEvery, time.Duration(float64(r.LastReadDuration)/readPart)) {
		return false
	}
	turn := time.Duration(r.Rank) * standbyStep
	switch {
	case r.Leader:
		return true
	case !r.HasList:
		return r.Uptime >= turn
	}
	return r.Age > takeOverAge+turn+time.Duration(r.Rows)*takeOverRow
}
