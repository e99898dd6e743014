package forward

import "time"

// clock wakes a run when it has been silent for a while, and tells when this VM
// stood still instead.
type clock struct {
	timer *time.Timer
	wait  time.Duration
	began time.Time
}

func newClock(wait time.Duration) *clock {
	return &clock{timer: time.NewTimer(wait), wait: wait, began: time.Now()}
}

func (c *clock) set(wait time.Duration) {
	c.timer.Reset(wait)
	c.wait, c.began = wait, time.Now()
}

// overslept reports whether the timer fired much later than it should have.
func (c *clock) overslept() bool { return time.Since(c.began)-c.wait >= stallSlack }

// timeUp looks at a silence. One of a VM that stood still is its own: events wait
// in the socket, and every stream would move at once.
func (r *run) timeUp() (ending, bool) {
	if r.clock.overslept() {
		r.last = time.Now()
		r.clock.set(afterStall)
		return 0, false
	}
	end, over := r.silent()
	r.clock.set(r.nextLook())
	return end, over
}

// silent decides about a run that has brought nothing for a while.
func (r *run) silent() (ending, bool) {
	switch r.patience().decide(r.silence()) {
	case askEngine:
		r.ask()
	case moveStream:
		return r.leave(), true
	}
	return 0, false
}

func (r *run) silence() silence {
	s := silence{
		lasted: time.Since(r.last), heardAgo: r.st.h.o.Fleet.SilentFor(r.server),
		begun: r.passed > 0 || r.from != nil, moved: r.st.moved, copyWaits: r.shield.now.keeper != nil && r.st.q.rec.runs+1 < r.st.q.rec.maxAttempts,
		asked: r.known, unknown: r.unknown,
	}
	if r.known {
		if made, running := r.told.Made[r.st.q.RequestID]; running && r.fresh {
			s.ahead = made - r.passed
		}
	}
	return s
}

// nextLook is when the silence is looked at again.
func (r *run) nextLook() time.Duration {
	p, lasted := r.patience(), time.Since(r.last)
	if p.MoveAfter > lasted {
		return min(askAgain, p.MoveAfter-lasted)
	}
	return askAgain
}

func (r *run) ask() {
	if r.asked != nil || time.Since(r.askAt) < askAgain {
		return
	}
	r.askAt = time.Now()
	r.st.h.Stats.Probes.Inc()
	r.asked = r.st.h.prober.ask(r.server)
}

// answerToQuestion is the end of a question under way; nil: there is none.
func (r *run) answerToQuestion() <-chan struct{} {
	if r.asked == nil {
		return nil
	}
	return r.asked.done
}

// heed takes the answer to a question.
func (r *run) heed() (ending, bool) {
	p := r.asked
	r.asked = nil
	if !p.alive {
		if r.again() {
			return 0, false
		}
		r.st.h.o.Fleet.MarkDead(r.server)
		r.st.h.blame(r.st.q, r.server, r.passed)
		return r.lost("engine does not answer"), true
	}
	r.told, r.known, r.unanswered = p.report, p.told, false
	r.noteUnknown()
	if r.patience().decide(r.silence()) == moveStream {
		return r.leave(), true
	}
	return 0, false
}

// again asks once more before a stream that has not begun is given up: its
// prompt would be read anew, and no pause is running.
func (r *run) again() bool {
	if r.st.begun || r.unanswered {
		return false
	}
	r.unanswered = true
	r.asked = r.st.h.prober.ask(r.server)
	return true
}

// noteUnknown counts the answers that do not name the run.
func (r *run) noteUnknown() {
	_, named := r.told.Made[r.st.q.RequestID]
	if r.known && r.told.Complete && !named {
		r.unknown++
		return
	}
	r.unknown = 0
}

// leave moves the stream off an engine that lives.
func (r *run) leave() ending {
	if s := r.silence(); s.lost() {
		return r.lost("engine does not have the run")
	}
	r.st.moved = true
	r.st.h.o.Fleet.Avoid(r.server)
	return r.lost("silent too long on a live engine")
}

// Figures of a VM that was stalled itself.
const (
	// stallSlack is how late a timer may fire on a busy VM.
	stallSlack = 150 * time.Millisecond
	// afterStall is the time to read what has come meanwhile.
	afterStall = 30 * time.Millisecond
)
