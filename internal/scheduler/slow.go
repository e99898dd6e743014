package scheduler

import (
	"math"
	"slices"
	"time"
)

// Slow engines.
//
// The load pattern: for some seconds a part of the engines works three to five times
// slower, and answers every question. An engine that has few runs looks free; a prompt
// that goes there takes longer than its whole objective, while others could have read it
// a moment later. Compared with the mean, a third of slow engines moves the mark so far
// that none of them stands out.
//
// So each engine's reading is timed, from a grant to the news that the prompt was read,
// and compared with the median. A prompt that is still being read counts as soon as it
// takes longer than usual. What is not observed any more fades: an engine that gets
// nothing must be tried again.

const (
	// slowWeight of the newest prompt: an engine turns slow at once, and its next prompt
	// should know.
	slowWeight = 0.7
	// slowHalves is the time in which what was seen of an engine fades to half: some
	// prompts' reading, far below the seconds that engines stay slow.
	slowHalves = 4 * time.Second
	// slowMark is the factor below which a difference is chance: prompts that a run's
	// tokens interrupt take up to half as long again.
	slowMark = 1.7
	// mostSlow bounds the factor of an engine that may never finish.
	mostSlow = 20
)

// reading is what an engine reads.
type reading struct {
	since  time.Time // of the grant; zero: it reads nothing that is timed
	tokens int
}

// speed is how long an engine takes for a token of a prompt.
type speed struct {
	perToken time.Duration
	at       time.Time
}

// beginReading times a prompt that an engine gets while it reads none.
func (e *server) beginReading(tokens int, now time.Time) {
	e.reading = reading{}
	if e.use.PendingPrompt == 0 && tokens > 0 {
		e.reading = reading{now, tokens}
	}
}

// endReading takes the news that an engine reads nothing any more.
func (e *server) endReading(now time.Time) {
	if e.reading.since.IsZero() || e.use.PendingPrompt > 0 {
		return
	}
	took := now.Sub(e.reading.since) / time.Duration(e.reading.tokens)
	e.speed, e.reading = speed{Smooth(e.speed.perToken, took, slowWeight), now}, reading{}
}

// usualFor is how long the median is kept: it moves with many prompts.
const usualFor = 200 * time.Millisecond

// usualSpeed is the median of a service's engines; 0: not known.
func (v *service) usualSpeed(now time.Time) time.Duration {
	if v.usual.perToken == 0 || now.Sub(v.usual.at) > usualFor {
		v.usual = speed{v.medianSpeed(), now}
	}
	return v.usual.perToken
}

func (v *service) medianSpeed() time.Duration {
	var all []time.Duration
	for _, e := range v.servers {
		if e.speed.perToken > 0 {
			all = append(all, e.speed.perToken)
		}
	}
	if len(all) == 0 {
		return 0
	}
	slices.Sort(all)
	return all[len(all)/2]
}

// slowness is how much longer an engine takes than the others; 1: it does not.
func (e *server) slowness(usual time.Duration, now time.Time) float64 {
	if usual <= 0 {
		return 1
	}
	seen := 1.0
	if e.speed.perToken > 0 {
		faded := math.Exp2(-float64(now.Sub(e.speed.at)) / float64(slowHalves))
		seen = 1 + (float64(e.speed.perToken)/float64(usual)-1)*faded
	}
	if !e.reading.since.IsZero() {
		expected := time.Duration(e.reading.tokens) * usual
		seen = max(seen, float64(now.Sub(e.reading.since))/float64(max(expected, time.Millisecond)))
	}
	if seen < slowMark {
		return 1
	}
	return min(seen, mostSlow)
}
