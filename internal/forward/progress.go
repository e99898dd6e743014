package forward

import (
	"fmt"
	"time"

	"github.com/amaranthshelf/amaranthshelf/internal/upstream"
)

// The failure pattern is an engine that sends without bringing its stream forward: one event or
// comments over and over, or events faster than any model makes them. If each byte were a sign of
// life, the stream would stay there until its deadline, and reading the bytes would take the
// processor time of all other streams.

var errNoProgress = fmt.Errorf("forward: events without progress: %w", upstream.ErrTooLarge)

const (
	// maxIdleBytes bounds what a run may bring without progress. A sound engine sends a comment
	// now and then, and repeats some events if it resumes before the last one.
	maxIdleBytes = 64 << 10
	// maxRepeatedEvents bounds the events of a run whose ids do not increase. Sound engines send
	// none.
	maxRepeatedEvents = 3
	// idleEventBytes is counted for an event besides its bytes, since it takes processor time.
	idleEventBytes = 128
)

// progress tells whether a run brings its stream forward. Bytes alone are no sign of life: a
// faulty engine may send one event, or comments, over and over. An event without an id is
// progress only in a stream that has none.
type progress struct {
	lastID    uint64
	hasID     bool
	idleBytes int // since the last progress
	repeated  int // events whose ids did not increase, since the last progress
}

// note records an event, and reports whether it is progress.
func (p *progress) note(e event) bool {
	advances := e.hasData && !p.hasID
	if e.hasID {
		advances = !p.hasID || e.id > p.lastID
		p.lastID, p.hasID = max(p.lastID, e.id), true
	}
	if advances {
		p.idleBytes, p.repeated = 0, 0
		return true
	}
	if e.hasID {
		p.repeated++
	}
	p.idleBytes += len(e.raw) + idleEventBytes
	return false
}

// isStuck reports whether the run has brought too much without progress.
func (p *progress) isStuck() bool {
	return p.idleBytes > maxIdleBytes || p.repeated > maxRepeatedEvents
}

const (
	// readBytesPerSecond bounds how fast the events of one run are read, far above what engines
	// generate. The processor time of a VM is shared by all streams.
	readBytesPerSecond = 1 << 20
	// readBurstBytes may be read at once.
	readBurstBytes = 256 << 10
	// minReadWait keeps waits from costing more than they save.
	minReadWait = 5 * time.Millisecond
)

// readPace bounds how fast the events of a run are read.
type readPace struct {
	readyAt time.Time // when what was read so far is paid for
}

func newReadPace(now time.Time) *readPace { return &readPace{readyAt: now} }

// read records an event, and returns how long to wait before the next one.
func (p *readPace) read(bytes int, now time.Time) time.Duration {
	const perByte = time.Second / readBytesPerSecond
	const burst = perByte * readBurstBytes
	if earliest := now.Add(-burst); p.readyAt.Before(earliest) {
		p.readyAt = earliest
	}
	p.readyAt = p.readyAt.Add(time.Duration(bytes+idleEventBytes) * perByte)
	if wait := p.readyAt.Sub(now); wait >= minReadWait {
		return wait
	}
	return 0
}
