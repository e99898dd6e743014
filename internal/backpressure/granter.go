package backpressure

import "time"

// Permits for sends to a server with a rate limit.
//
// The overload. A server in need states how many requests a second it accepts from all VMs
// together, while callers offer it ten times that through dozens of VMs. No VM alone exceeds
// the limit, but their sum does, and the server fails under it. With equal shares for the
// VMs, a server with a limit of 9 receives one request a second if all callers use one VM,
// and the first request of each VM alone is a burst of hundreds.
//
// Therefore one VM counts for all: the Granter of a control VM gives each send a permit, as
// long as the limit allows. A VM without a permit sends elsewhere or refuses the request.
//
// Two control VMs may grant at once while VMs disagree on which of them answers. Each debits
// the sends that the other permitted, as VMs report them with their heartbeats, so that both
// together converge to the limit. A Granter that others could have replaced starts with a
// part of the limit. If it does not hear from some VMs, it leaves them their part, since they
// may use another one.

// Constants of a Granter.
const (
	// burstTime is how long unused permits accumulate, and minBurst how many at any limit. A
	// VM that was denied asks again somewhat after the next permit is there.
	burstTime = 500 * time.Millisecond
	minBurst  = 2
	// settleTime is how long a Granter grants settleShare of the limit after it took over.
	// It covers the time in which all VMs notice that the former one is gone.
	settleTime  = 2 * time.Second
	settleShare = 0.5
	// takeoverIdle is the time without a request for a permit after which another Granter
	// may have granted.
	takeoverIdle = 5 * time.Second
	// contentionWindow is the time in which the VMs that were denied a permit are counted.
	contentionWindow = time.Second
	// minWait and maxWait bound the time after which a denied VM asks again.
	minWait = 10 * time.Millisecond
	maxWait = time.Second
	// minRate, in requests per second, is granted under any limit. The end of a limit is
	// learned from an answer, and a server that is never sent anything gives none.
	minRate = 0.1
)

// Granter grants permits for sends to servers with a rate limit. It is not safe for
// concurrent use.
type Granter struct {
	rng     func() float64 // random number in [0, 1)
	share   float64        // part of each limit that may be granted
	buckets map[string]*bucket
}

// bucket holds the permits of one server.
type bucket struct {
	permits  float64 // negative: others granted more than was left
	filledAt time.Time
	askedAt  time.Time
	tookOver time.Time // when the Granter began to grant
	denied   map[string]time.Time
}

// NewGranter returns a Granter. rng returns a random number in [0, 1).
func NewGranter(rng func() float64) *Granter {
	return &Granter{rng: rng, share: 1, buckets: map[string]*bucket{}}
}

// SetShare sets the part of each limit that may be granted: the part of the VMs that this
// control VM hears from.
func (g *Granter) SetShare(share float64) { g.share = min(max(share, 0), 1) }

// Take grants a VM a permit for one send to a server with the given limit in requests per
// second and returns 0, or returns the time after which the VM may ask again.
func (g *Granter) Take(server, vm string, limit float64, now time.Time) time.Duration {
	b := g.bucket(server, now)
	rate := b.rate(limit, g.share, now)
	b.fill(rate, now)
	if b.permits >= 1 {
		b.permits--
		delete(b.denied, vm)
		return 0
	}
	return b.deny(vm, rate, g.rng(), now)
}

// Debit takes sends into account that others permitted. While only others grant, no permits
// accumulate here.
func (g *Granter) Debit(server string, sends uint64, now time.Time) {
	b := g.bucket(server, now)
	if now.Sub(b.askedAt) > takeoverIdle {
		b.permits, b.filledAt = min(b.permits, 0), now
	}
	b.permits -= float64(sends)
}

// Forget drops the servers for which keep returns false.
func (g *Granter) Forget(keep func(server string) bool) {
	for id := range g.buckets {
		if !keep(id) {
			delete(g.buckets, id)
		}
	}
}

func (g *Granter) bucket(server string, now time.Time) *bucket {
	b := g.buckets[server]
	if b == nil {
		b = &bucket{filledAt: now, denied: map[string]time.Time{}}
		g.buckets[server] = b
	}
	return b
}

// rate returns the permits per second that may be granted now.
func (b *bucket) rate(limit, share float64, now time.Time) float64 {
	if now.Sub(b.askedAt) > takeoverIdle {
		b.tookOver = now
	}
	b.askedAt = now
	rate := limit * share
	if now.Sub(b.tookOver) < settleTime {
		rate *= settleShare
	}
	return max(rate, minRate)
}

// fill adds the permits of the time since the last call. A debt is bounded to what is
// granted within burstTime, since an older one has left the server's own count.
func (b *bucket) fill(rate float64, now time.Time) {
	most := max(minBurst, rate*burstTime.Seconds())
	elapsed := now.Sub(b.filledAt).Seconds()
	b.permits = min(max(b.permits, -most)+elapsed*rate, most)
	b.filledAt = now
}

// deny returns when the VM may ask again. The more VMs contend, the later, so that together
// they ask about twice as often as permits are granted.
func (b *bucket) deny(vm string, rate, draw float64, now time.Time) time.Duration {
	b.denied[vm] = now
	for other, at := range b.denied {
		if now.Sub(at) > contentionWindow {
			delete(b.denied, other)
		}
	}
	seconds := max(1-b.permits, float64(len(b.denied))/2) / rate
	wait := time.Duration((0.5 + draw) * min(seconds, maxWait.Seconds()) * float64(time.Second))
	return min(max(wait, minWait), maxWait)
}
