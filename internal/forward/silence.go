package forward

import "time"

// The failure pattern is the silent death of engines: their connections stay open, but
// carry nothing more. A caller accepts a pause of some hundred milliseconds, and a live
// engine pauses nearly as long while it prefills the prompt of another stream. A fixed
// timeout that is slightly too short amplifies itself. Resumed streams load the engines,
// which then look silent in turn, and the streams of a healthy system break off.
//
// Silence alone is therefore no proof of death. It triggers a probe, which a live engine
// answers without a slot. An engine counts as dead only if the probe fails as well. A
// stream leaves a live engine at most once, and only if a copy of its run exists and the
// pause would become too long otherwise.
//
// A live engine may not have the run at all: it was restarted at the same address, or
// the request was lost on its way without a reset. No event would ever come, but the
// engine would answer every probe until the caller's deadline. An engine has therefore
// lost the run if two complete reports in a row do not list it.

// SilenceLimits are the durations of silence after which a run acts.
type SilenceLimits struct {
	ProbeAfter time.Duration // silence after which the engine is probed
	MoveAfter  time.Duration // silence after which a stream leaves a live engine; 0: never
}

// Constants of the silence limits.
const (
	// probeShare is the part of the pause objective after which an engine is probed. An
	// engine that prefills another prompt makes an event each 200 to 250 ms, which is a
	// third of a usual objective.
	probeShare = 0.36
	// moveAfterShare is the part of the pause objective after which a stream moves. It
	// leaves time for a resume from a copy, which takes some 100 to 150 ms.
	moveAfterShare = 0.68
	// defaultPauseObjective applies to routes without a pause objective.
	defaultPauseObjective = 1 * time.Second
	// firstEventProbeAfter is the least silence before a probe while no event has come.
	// The prefill of the prompt, and of those queued before it, takes seconds. A dead
	// engine found at this stage causes no pause in an answer.
	firstEventProbeAfter = 1500 * time.Millisecond
	// firstEventLostAfter is the least silence after which a run without an event counts
	// as lost, whatever its engine reports. It is twice the prefill time of the longest
	// prompts. An engine may not list a run whose prefill has not started.
	firstEventLostAfter = 4 * time.Second
	// lostAfterReports is the number of reports in a row that must not list a run for it
	// to count as lost. The content of a report is some hundred ms old.
	lostAfterReports = 2
	// probeInterval separates two probes about the same silence.
	probeInterval = 300 * time.Millisecond
	// maxProbeInterval separates two probes about a long silence before the first event.
	maxProbeInterval = 1200 * time.Millisecond
	// recentlyHeard is how long an event of any stream proves that its engine is alive
	// and need not be probed.
	recentlyHeard = 120 * time.Millisecond
)

// SilenceLimitsFor derives the limits from a route's pause objective. begun is set if the
// caller was sent a part of the answer.
func SilenceLimitsFor(pause time.Duration, begun bool) SilenceLimits {
	if pause <= 0 {
		pause = defaultPauseObjective
	}
	if !begun {
		return SilenceLimits{ProbeAfter: max(firstEventProbeAfter, 2*pause)}
	}
	return SilenceLimits{
		ProbeAfter: time.Duration(probeShare * float64(pause)),
		MoveAfter:  time.Duration(moveAfterShare * float64(pause)),
	}
}

// maxSilenceFactor bounds how much longer the silence on a slow engine may last. A dead engine
// is then still probed within 0.72 of the pause objective, which leaves time for a resume.
const maxSilenceFactor = 2

// scaled returns the limits for an engine on which gaps up to expected are usual; 0: not known.
// With the limits of a fast engine, the streams of a slow one would be probed at each prefill of
// another prompt, and leave it although it works. Before the first event nothing is scaled: a
// dead engine that is found later than usual would make the first event late.
func (p SilenceLimits) scaled(pause, expected time.Duration) SilenceLimits {
	if p.MoveAfter <= 0 {
		return p
	}
	if pause <= 0 {
		pause = defaultPauseObjective
	}
	factor := min(max(1, float64(expected)/(moveAfterShare*float64(pause))), maxSilenceFactor)
	return SilenceLimits{
		ProbeAfter: time.Duration(factor * float64(p.ProbeAfter)),
		MoveAfter:  time.Duration(factor * float64(p.MoveAfter)),
	}
}

// leavingAfter returns the limits if a resume from a copy is expected to take a time; 0: not known.
func (p SilenceLimits) leavingAfter(resume time.Duration) SilenceLimits {
	if p.MoveAfter > 0 {
		p.MoveAfter = max(p.MoveAfter, resume)
	}
	return p
}

// probeIntervalAfter returns the time between two probes about a silence.
//
// Under overload hundreds of runs wait in engines for seconds. Probed at the usual interval,
// each on a new connection, they would cost as many probes as there are requests, just when
// VMs and engines have no time for them. Before the first event no caller sees a pause, so the
// interval grows with the silence.
func probeIntervalAfter(silent time.Duration, begun bool) time.Duration {
	if begun {
		return probeInterval
	}
	return min(max(probeInterval, silent/4), maxProbeInterval)
}

// silence is what is known about a run that has brought nothing for a while.
type silence struct {
	duration        time.Duration
	engineHeardAgo  time.Duration // since the engine sent anything to this VM
	begun           bool          // events have come, or the run resumes from a copy
	moved           bool          // the stream was moved off a live engine before
	hasCopy         bool
	reportIsCurrent bool // the engine has reported during this silence
	eventsAhead     int  // events that the engine has made and that have not come
	missingReports  int  // complete reports in a row that do not list the run
}

// engineLostRun reports whether the engine has lost the run.
func (s *silence) engineLostRun() bool {
	return s.missingReports >= lostAfterReports && (s.begun || s.duration >= firstEventLostAfter)
}

// eventsDoNotArrive reports whether the engine makes events that the connection does not deliver.
func (s *silence) eventsDoNotArrive() bool {
	return s.reportIsCurrent && s.begun && s.eventsAhead > maxEventsInFlight
}

// action is the reaction to a silence.
type action uint8

const (
	keepWaiting action = iota
	probeEngine
	moveStream
)

// decide chooses the reaction to a silence. A dead engine needs no decision, since its
// streams move at once.
func (p SilenceLimits) decide(s silence) action {
	if s.engineLostRun() {
		return moveStream
	}
	if s.eventsDoNotArrive() {
		return moveStream
	}
	if p.MoveAfter > 0 && s.begun && s.duration >= p.MoveAfter && s.hasCopy && !s.moved {
		return moveStream
	}
	if s.duration >= p.ProbeAfter && s.engineHeardAgo >= recentlyHeard {
		return probeEngine
	}
	return keepWaiting
}

// maxEventsInFlight is the most events that are made and not received while the
// connection works.
const maxEventsInFlight = 4
