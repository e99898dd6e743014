package forward

import "time"

// silenceTimer wakes a run that has received no event from its engine for a while. If the
// timer itself fires much too late, this VM was stalled, and the silence is no sign of a
// failure of the engine.
type silenceTimer struct {
	timer     *time.Timer
	wait      time.Duration
	startedAt time.Time
}

func newSilenceTimer(wait time.Duration) *silenceTimer {
	return &silenceTimer{timer: time.NewTimer(wait), wait: wait, startedAt: time.Now()}
}

func (t *silenceTimer) set(wait time.Duration) {
	t.timer.Reset(wait)
	t.wait, t.startedAt = wait, time.Now()
}

// firedLate reports whether the timer fired much later than it was set to.
func (t *silenceTimer) firedLate() bool { return time.Since(t.startedAt)-t.wait >= maxTimerDelay }

// onSilenceTimer handles the expiry of the silence timer, and reports whether the run has
// ended and how. If the timer fired late, this VM was stalled: the engine may have sent
// events that this VM has not read yet. The run then gets stallReadTime to read them. If
// that time were not granted, a stall of this VM would move all its streams to other engines.
func (r *run) onSilenceTimer() (runEnd, bool) {
	if r.silenceTimer.firedLate() {
		r.lastHeard = time.Now()
		r.silenceTimer.set(stallReadTime)
		return 0, false
	}
	end, done := r.handleSilence()
	r.silenceTimer.set(r.nextSilenceCheck())
	return end, done
}

// handleSilence probes the engine or moves the stream to another one, as the duration of the
// silence and the engine's last report demand. It reports whether the run has ended and how.
func (r *run) handleSilence() (runEnd, bool) {
	switch r.silenceLimits().decide(r.currentSilence()) {
	case probeEngine:
		r.startProbe()
	case moveStream:
		return r.moveOff(), true
	}
	return 0, false
}

func (r *run) currentSilence() silence {
	s := silence{
		duration: time.Since(r.lastHeard), engineHeardAgo: r.st.h.opts.Fleet.SilentFor(r.server),
		begun: r.forwarded > 0 || r.from != nil, moved: r.st.movedOffLive, hasCopy: r.backup.current.engine != nil && r.st.q.history.MayRunAgain(),
		reportIsCurrent: r.reportIsCurrent, missingReports: r.missingReports,
	}
	if r.reportIsCurrent {
		if made, running := r.report.Made[r.st.q.RequestID]; running && r.fromStart {
			s.eventsAhead = made - r.forwarded
		}
	}
	return s
}

// nextSilenceCheck returns the time until the next check of the silence.
func (r *run) nextSilenceCheck() time.Duration {
	p, silent := r.silenceLimits(), time.Since(r.lastHeard)
	if p.MoveAfter > silent {
		return min(probeInterval, p.MoveAfter-silent)
	}
	return r.probeInterval()
}

func (r *run) probeInterval() time.Duration {
	return probeIntervalAfter(time.Since(r.lastHeard), r.st.headSent)
}

func (r *run) startProbe() {
	if r.probe != nil || time.Since(r.probedAt) < probeInterval {
		return
	}
	r.probedAt = time.Now()
	r.st.h.Stats.Probes.Inc()
	r.probe = r.st.h.prober.start(r.server)
}

// probeDone returns the channel that the probe in flight closes; nil: there is none.
func (r *run) probeDone() <-chan struct{} {
	if r.probe == nil {
		return nil
	}
	return r.probe.done
}

// handleProbe handles the result of a probe, and reports whether the run has ended and how.
func (r *run) handleProbe() (runEnd, bool) {
	p := r.probe
	r.probe = nil
	if p.withheld {
		return r.handleSilence()
	}
	if p.replaced {
		return r.lost("another incarnation answers at the address"), true
	}
	if !p.alive {
		if r.probeAgain() {
			return 0, false
		}
		r.st.h.judgeDead(r.server, p, false)
		return r.silent("engine does not answer"), true
	}
	r.report, r.reportIsCurrent, r.probeFailed = p.report, p.hasReport, false
	r.countMissingReports()
	if r.silenceLimits().decide(r.currentSilence()) == moveStream {
		return r.moveOff(), true
	}
	return 0, false
}

// probeAgain starts a second probe before a stream that has not begun leaves its engine.
// A move would repeat the prefill, and there is no pause that the caller sees yet.
func (r *run) probeAgain() bool {
	if r.st.headSent || r.probeFailed {
		return false
	}
	r.probeFailed = true
	r.probe = r.st.h.prober.start(r.server)
	return true
}

// countMissingReports counts the complete reports in a row that do not list the run.
func (r *run) countMissingReports() {
	_, listed := r.report.Made[r.st.q.RequestID]
	if r.reportIsCurrent && r.report.Complete && !listed {
		r.missingReports++
		return
	}
	r.missingReports = 0
}

// moveOff leaves a run on a live engine; the stream then resumes on another engine.
func (r *run) moveOff() runEnd {
	s := r.currentSilence()
	if s.engineLostRun() {
		return r.lost("engine does not have the run")
	}
	if s.eventsDoNotArrive() {
		return r.lost("events of the engine do not arrive")
	}
	r.st.movedOffLive, r.st.leftEngine = true, r.server.ID
	r.st.onlyFromCopy = true
	r.engineAnswers.Store(true)
	r.st.h.opts.Fleet.Avoid(r.server)
	return r.silent("silent too long on a live engine")
}

// Constants for the detection of a stall of this VM.
const (
	// maxTimerDelay is how late a timer may fire on a busy VM.
	maxTimerDelay = 150 * time.Millisecond
	// stallReadTime is the time that a run gets to read the events that arrived during a
	// stall, before its silence is judged.
	stallReadTime = 30 * time.Millisecond
)
