package recovery

import (
	"maps"
	"time"
)

// The load pattern: a crashing content comes to all VMs at once, and many harmless contents
// that were in flight beside it are suspect too. If each VM tried them by itself, every VM
// would lose a server to the crashing one. If two were tried at once, one would be convicted
// of the death that the other caused.

// Bounds of trials.
const (
	// callTrials and streamTrials bound the trials in a service at a time. Calls are tried
	// one after the other, since each takes a small part of a second. A stream is cleared
	// only after its prompt has been prefilled.
	callTrials   = 1
	streamTrials = 4
	// callTrialLease and streamTrialLease bound the time until the result of a trial; the VM
	// that was granted it may have died.
	callTrialLease   = 2 * time.Second
	streamTrialLease = 10 * time.Second
	// trialPoll is when a VM may ask again while a trial is in progress.
	trialPoll = 50 * time.Millisecond
	// firstTrialPause separates the first two trials without a result. It doubles with each
	// further one, up to laterHold.
	firstTrialPause = 3 * time.Second
)

// ContentTrials grants trials of suspect contents. It is not safe for concurrent use.
type ContentTrials struct {
	running map[uint64]contentTrial // by digest
	tried   map[uint64]pastTrials   // without a result, by digest
}

type contentTrial struct {
	vm, service string
	until       time.Time
}

type pastTrials struct {
	count int
	last  time.Time
}

// NewContentTrials returns a ContentTrials without any trial.
func NewContentTrials() *ContentTrials {
	return &ContentTrials{running: map[uint64]contentTrial{}, tried: map[uint64]pastTrials{}}
}

// Request asks for a trial of a content on behalf of a VM. It returns 0 if the trial is
// granted, or else when to ask again.
func (t *ContentTrials) Request(digest uint64, vm, service string, stream bool, now time.Time) time.Duration {
	t.expire(now)
	limit, lease := callTrials, callTrialLease
	if stream {
		limit, lease = streamTrials, streamTrialLease
	}
	past := t.tried[digest]
	if wait := past.pause() - now.Sub(past.last); past.count > 0 && wait > 0 {
		return wait
	}
	if _, runs := t.running[digest]; runs || t.runningIn(service) >= limit {
		return trialPoll
	}
	t.running[digest] = contentTrial{vm, service, now.Add(lease)}
	t.tried[digest] = pastTrials{past.count + 1, now}
	return 0
}

// pause returns how long after the last trial the next one may begin.
func (p pastTrials) pause() time.Duration {
	const maxDoublings = 10
	return min(firstTrialPause<<min(max(p.count-1, 0), maxDoublings), laterHold)
}

func (t *ContentTrials) runningIn(service string) int {
	n := 0
	for _, trial := range t.running {
		if trial.service == service {
			n++
		}
	}
	return n
}

// End ends a trial of a VM. notRun states that the server has certainly not run the
// content, so that the trial does not count.
func (t *ContentTrials) End(digest uint64, vm string, notRun bool) {
	if t.running[digest].vm != vm {
		return
	}
	delete(t.running, digest)
	if past := t.tried[digest]; notRun {
		t.tried[digest] = pastTrials{past.count - 1, time.Time{}}
	}
}

// Cleared forgets the past trials of a content.
func (t *ContentTrials) Cleared(digest uint64) { delete(t.tried, digest) }

func (t *ContentTrials) expire(now time.Time) {
	maps.DeleteFunc(t.running, func(_ uint64, trial contentTrial) bool { return now.After(trial.until) })
	maps.DeleteFunc(t.tried, func(digest uint64, p pastTrials) bool {
		_, runs := t.running[digest]
		return !runs && now.Sub(p.last) > suspectTTL
	})
}
