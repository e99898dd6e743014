package forward

import "time"

// The load pattern. Engines die without a word: their connections stay open and
// nothing more comes. A caller's pause may be some hundred milliseconds, and an
// engine that reads another's prompt pauses nearly as long. A fixed bound that is
// a little too short feeds itself: resumed streams load the engines, which then
// look silent in turn, and the answers of a healthy system break.
//
// So silence alone is never a verdict. It leads to a question that a live engine
// answers without a slot; only where that stays unanswered too is the engine dead.
// A stream of a live engine moves once at most, where a copy waits and the pause
// would be too long otherwise.
//
// A live engine may not have the run at all: it was started again under the address
// that it had, or the request was lost on its way without a reset. Nothing would ever
// come, and the engine would answer every question until the caller's time is over. So
// an engine that names all that it has, and not the run, twice, has lost it.

// Patience are the bounds of one stream's silence.
type SilenceLimits struct {
	ProbeAfter time.Duration // silence after which the engine is asked
	MoveAfter  time.Duration // silence of a live engine after which a stream moves
}

// Figures of patience.
const (
	// askShare of the pause objective: an engine that reads a prompt beside makes
	// an event each 200 to 250 ms, a third of a usual objective.
	askShare = 0.36
	// moveShare leaves what a resume from a copy takes, some 100 to 150 ms.
	moveShare = 0.68
	// defaultPause stands in where a route states no objective for pauses.
	defaultPause = 1 * time.Second
	// firstAsk: before its first event a stream waits for its prompt, and those
	// before it, to be read: seconds. A dead engine found here costs no pause.
	firstAsk = 1500 * time.Millisecond
	// firstLost: before its first event a stream is taken for lost no sooner, whatever
	// its engine says. Twice what the longest prompts take; one that has not begun to
	// be read may not be named.
	firstLost = 4 * time.Second
	// lostAnswers in a row: what an engine says of itself is some hundred ms old.
	lostAnswers = 2
	// askAgain is the pause between two questions about one silence.
	askAgain = 300 * time.Millisecond
	// neighbourHeard: an engine that sent an event of another stream so lately
	// lives, and need not be asked.
	neighbourHeard = 120 * time.Millisecond
)

// PatienceFor derives the bounds from a route's pause objective.
func SilenceLimitsFor(pause time.Duration, begun bool) SilenceLimits {
	if pause <= 0 {
		pause = defaultPause
	}
	if !begun {
		return SilenceLimits{ProbeAfter: max(firstAsk, 2*pause)}
	}
	return SilenceLimits{
		ProbeAfter: time.Duration(askShare * float64(pause)),
		MoveAfter:  time.Duration(moveShare * float64(pause)),
	}
}

// silence is what is known when a stream has brought nothing for a while.
type silence struct {
	lasted    time.Duration
	heardAgo  time.Duration // since the engine last sent anything to this VM
	begun     bool          // events have come on this stream
	moved     bool          // the stream has moved off a live engine before
	copyWaits bool
	asked     bool // an answered question about this silence
	ahead     int  // events that the engine has made beyond those that came
	unknown   int  // answers in a row by which the engine does not have the run
}

// lost reports whether the engine has lost the run.
func (s *silence) lost() bool {
	return s.unknown >= lostAnswers && (s.begun || s.lasted >= firstLost)
}

// action is what to do about a silence.
type action uint8

const (
	keepWaiting action = iota
	askEngine
	moveStream
)

// decide is the whole policy. A dead engine needs none: its streams move at once.
func (p SilenceLimits) decide(s silence) action {
	if s.lost() {
		return moveStream
	}
	if s.asked && s.begun && s.ahead > aheadLost {
		return moveStream // its events are made and do not come: the connection is lost
	}
	if p.MoveAfter > 0 && s.begun && s.lasted >= p.MoveAfter && s.copyWaits && !s.moved {
		return moveStream
	}
	if s.lasted >= p.ProbeAfter && s.heardAgo >= neighbourHeard {
		return askEngine
	}
	return keepWaiting
}

// aheadLost events made and not received are more than what is on its way.
const aheadLost = 4
