package scheduler

import (
	"math"
	"slices"
	"time"
)

// Slow engines.
//
// The failure. For some seconds a part of the engines works three to five times slower
// but still answers every query. An engine with few runs looks free, but a prompt sent
// there takes longer than its whole objective, while other engines could have prefilled
// it a moment later. Comparing with the mean fails: if a third of the engines is slow,
// the mean shifts so far that none of them stands out.
//
// Each prefill is therefore timed, from the grant to the report that the prompt was
// prefilled, and compared with the median. A prefill in progress counts as soon as it
// takes longer than usual. An observation loses weight with its age, since an engine that
// gets no streams must be tried again.

const (
	// speedWeight is the weight of the newest prefill. Engines become slow abruptly, and
	// the first slow prefill should already affect the choice for the next prompt.
	speedWeight = 0.7
	// speedHalfLife is the time after which an observation has lost half of its weight:
	// several prefills, and much less than the seconds for which engines stay slow.
	speedHalfLife = 4 * time.Second
	// minSlowdown is the factor below which a difference is regarded as noise: prefills
	// interrupted by decoding steps of other runs take up to half as long again.
	minSlowdown = 1.7
	// maxSlowdown bounds the factor of an engine that may never finish.
	maxSlowdown = 20
)

// prefill is the prefill that is timed on an engine.
type prefill struct {
	since  time.Time // time of the grant; zero: none is timed
	tokens int
}

// speed is an engine's prefill time per token, and when it was measured.
type speed struct {
	perToken time.Duration
	at       time.Time
}

// beginPrefill starts timing a prompt that is sent to an engine without pending prompts.
func (e *server) beginPrefill(tokens int, now time.Time) {
	e.prefill = prefill{}
	if e.usage.PendingPrompt == 0 && tokens > 0 {
		e.prefill = prefill{now, tokens}
	}
}

// endPrefill records the duration of the timed prefill once the engine has no pending
// prompts.
func (e *server) endPrefill(now time.Time) {
	if e.prefill.since.IsZero() || e.usage.PendingPrompt > 0 {
		return
	}
	perToken := now.Sub(e.prefill.since) / time.Duration(e.prefill.tokens)
	e.service.medianUnknown = false
	e.speed, e.prefill = speed{Smooth(e.speed.perToken, perToken, speedWeight), now}, prefill{}
}

// medianTTL is how long the median is cached. Single prefills hardly move it.
const medianTTL = 200 * time.Millisecond

// cachedMedianPerToken is the median prefill time per token of a service's engines; 0:
// unknown.
func (v *service) cachedMedianPerToken(now time.Time) time.Duration {
	if !v.medianUnknown && (v.median.perToken == 0 || now.Sub(v.median.at) > medianTTL) {
		v.median = speed{v.medianPerToken(), now}
		v.medianUnknown = v.median.perToken == 0
	}
	return v.median.perToken
}

func (v *service) medianPerToken() time.Duration {
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

// slowdown is how many times longer than the median a prefill takes on the engine; 1: not
// notably longer.
func (e *server) slowdown(median time.Duration, now time.Time) float64 {
	if median <= 0 {
		return 1
	}
	observed := 1.0
	if e.speed.perToken > 0 {
		weight := math.Exp2(-float64(now.Sub(e.speed.at)) / float64(speedHalfLife))
		observed = 1 + (float64(e.speed.perToken)/float64(median)-1)*weight
	}
	if !e.prefill.since.IsZero() {
		expected := time.Duration(e.prefill.tokens) * median
		observed = max(observed, float64(now.Sub(e.prefill.since))/float64(max(expected, time.Millisecond)))
	}
	if observed < minSlowdown {
		return 1
	}
	return min(observed, maxSlowdown)
}
