package cluster

import (
	"sync"
	"time"
)

// The overload. At four times the usual load hundreds of reports a second arrive at the
// deciding control VM, and a round of decisions takes the longer the more streams wait. If
// each report caused a round, rounds would take the whole processor of a small VM.
// Heartbeats, elections and answers would then wait for seconds, routers would take the VM
// for lost, and several control VMs would decide at once.
//
// Therefore messages only record their content, and one goroutine decides. It leaves at
// least as much time between two rounds as the first of them took.

// maxRoundPause bounds the pause after a round. A round during which the VM was frozen
// seems long, and the streams would wait for as long again.
const maxRoundPause = 500 * time.Millisecond

// decisionLoop runs rounds of decisions, one at a time. Safe for concurrent use.
type decisionLoop struct {
	mu      sync.Mutex
	round   func()
	running bool // a goroutine runs rounds
	due     bool // another round is needed
	stats   RoundStats
}

// RoundStats describes the rounds of decisions of a control VM since its start.
type RoundStats struct {
	Rounds        uint64
	Busy, Longest time.Duration // sum and maximum of the rounds' durations
}

// wake causes a round that sees everything recorded so far, and does not block. The round
// begins at once if the loop is idle.
func (l *decisionLoop) wake() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.due = true
	if !l.running {
		l.running = true
		go l.run()
	}
}

func (l *decisionLoop) run() {
	for round := l.next(); round != nil; round = l.next() {
		began := time.Now()
		round()
		took := time.Since(began)
		l.count(took)
		if took > 0 {
			time.Sleep(min(took, maxRoundPause))
		}
	}
}

// next returns the next round, or ends the loop and returns nil if none is needed.
func (l *decisionLoop) next() func() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.running, l.due = l.due, false
	if !l.running {
		return nil
	}
	return l.round
}

func (l *decisionLoop) count(took time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.stats.Rounds++
	l.stats.Busy += took
	l.stats.Longest = max(l.stats.Longest, took)
}

func (l *decisionLoop) readStats() RoundStats {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.stats
}
