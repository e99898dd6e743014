package scheduler

import (
	"math"
	"time"
)

// Memory for streams of higher priorities.
//
// The overload. The least urgent streams fill the memory of all engines, and an urgent
// stream that arrives a moment later waits until one of their runs ends, which takes
// seconds. A fixed share of memory for urgent streams is wasted whenever there are few.
//
// A stream therefore starts only if the memory that is left is enough for what higher
// priorities will need within one prefill: the mean growth of the memory that their runs
// hold (Little's law), plus one standard deviation of the arrivals, less what runs of its own
// and lower priorities free before streams of the higher ones must start. Without that
// deduction memory would be kept free that higher priorities do not need. A late stream leaves the same for its own priority. The memory is lent
// while no higher priority arrives.

// freeMemory sums the memory of the runs of usual size that could start on the usable
// engines. The rest of an engine, which is too small for a run, is of no use.
func (r *round) freeMemory() float64 {
	v := r.service
	if r.now.Sub(v.freeAt) >= rescanInterval {
		v.free, v.freeAt = r.sumFreeMemory(), r.now
	}
	return v.free
}

func (r *round) sumFreeMemory() float64 {
	v := r.service
	n := v.demand.count(r.now)
	if v.kvTokens == 0 || n == 0 {
		return math.Inf(1)
	}
	usual := max(1, v.demand.sum/n)
	most := int(maxMemoryShare * float64(v.kvTokens))
	places := 0
	for _, e := range r.servers {
		if e.lost && r.usable > 0 {
			continue
		}
		k := max(0, most-e.usage.Tokens) / usual
		if e.Slots > 0 {
			k = min(k, max(0, e.Slots-e.usage.Requests))
		}
		places += k
	}
	return float64(places * usual)
}

// holdTime is how long a run of usual size holds its memory.
func (v *service) holdTime() time.Duration {
	if len(v.demand.events) == v.demand.first {
		return v.timing.RunDuration
	}
	return v.timing.prefillTime(v.demand.sum/(len(v.demand.events)-v.demand.first)) + v.timing.RunDuration
}

// growth returns, for each rank, by how many tokens the memory of its runs is expected to
// grow within one prefill.
func (v *service) growth(now time.Time) []float64 {
	out := make([]float64, len(v.ranks))
	hold := v.holdTime()
	share := 1.0 // of the growth until the memory is as expected
	if hold > 0 {
		share = 1 - math.Exp(-(hold-v.timing.RunDuration).Seconds()/hold.Seconds())
	}
	for i, k := range v.ranks {
		out[i] = share * max(0, k.demand.expectedMemory(now, v.timing)-k.holds(hold, now))
	}
	return out
}

// leavesReserve reports whether a stream leaves enough memory for higher priorities.
func (p *rankedPass) leavesReserve(w *waiter) bool {
	if w.Interrupted || w.KVTokens == 0 {
		return true
	}
	i := 2 * p.round.service.rankIndex(w.Priority)
	if w.class == late {
		i++
	}
	if p.reserves[i] < 0 {
		p.reserves[i] = max(0, p.reserveFor(w))
	}
	return p.reserves[i] == 0 || p.round.freeMemory()-float64(w.Need.Tokens()) >= p.reserves[i]
}

func (p *rankedPass) forgetReserves() {
	for i := range p.reserves {
		p.reserves[i] = -1
	}
}

// reserveFor is the memory in tokens that streams like this one must leave.
func (p *rankedPass) reserveFor(w *waiter) float64 {
	v := p.round.service
	var mean, variance float64
	slack := time.Duration(math.MaxInt64)
	for i, k := range v.ranks {
		if k.priority > w.Priority || k.priority == w.Priority && w.class != late {
			break
		}
		n := k.demand.count(p.round.now)
		if n == 0 {
			continue // lent
		}
		usual := float64(k.demand.sum) / float64(n)
		prefill := v.timing.prefillTime(int(usual)).Seconds()
		mean += p.growth[i]
		slack = min(slack, k.slack)
		variance += k.demand.rate(p.round.now) * prefill * usual * usual
	}
	reserve := mean + math.Sqrt(variance)
	if reserve > 0 {
		reserve -= p.freedWithin(slack, w.Priority)
	}
	return reserve
}

// freedWithin is the memory that runs of a priority and of lower ones are expected to free
// within a time.
func (p *rankedPass) freedWithin(d time.Duration, priority int) float64 {
	v := p.round.service
	hold := v.holdTime()
	if hold <= 0 {
		return 0
	}
	held := 0.0
	for _, k := range v.ranks {
		if k.priority >= priority {
			held += k.holds(hold, p.round.now)
		}
	}
	return held * (1 - math.Exp(-d.Seconds()/hold.Seconds()))
}
