package callqueue

import (
	"math"
	"time"
)

// The load pattern. A server states that it ends if it has to refuse more than a few calls in a
// second, and may let fewer wait than before. With the usual surplus beyond its slots it would
// refuse some of the calls of each burst.
//
// Such a server gets one call beyond its slots. Each refusal lowers the number by
// one, and after some of them it gets nothing until a second has passed. Refusals of all VMs count,
// and each grant obeys the result.

const (
	// fragileTTL is how long a statement of a rejection limit counts. Each answer states it.
	fragileTTL = 5 * time.Second
	// ceilingTTL is how long the number of calls stays lowered after a refusal.
	ceilingTTL = 10 * time.Second
	// rejectionEcho is the time in which further refusals are of calls that were granted before the
	// number was lowered.
	rejectionEcho = 200 * time.Millisecond
	// rejectionWindow is the time over which refusals are counted, and usedRejections the part of
	// those that a server bears after which it gets nothing.
	rejectionWindow = time.Second
	usedRejections  = 0.5
	// settleTime is how long the servers of a service get half of the calls after the first statement:
	// they may still have those of another control VM, which granted before.
	settleTime = 300 * time.Millisecond
)

// noteFragile records that a server states a rejection limit.
func (s *service) noteFragile(now time.Time) {
	if !s.isFragile(now) {
		s.fragileSince = now
	}
	s.fragileAt = now
}

func (s *service) isFragile(now time.Time) bool {
	return !s.fragileAt.IsZero() && now.Sub(s.fragileAt) <= fragileTTL
}

// fragileWindow is window for a server of a fragile service.
func (s *service) fragileWindow(v *server, now time.Time) float64 {
	slots := float64(max(1, v.Slots))
	most := v.fragility.most(slots, now)
	if now.Sub(s.fragileSince) < settleTime {
		return min(math.Ceil(slots/2), most)
	}
	return most
}

// Rejections is what a router reports of the refusals of a server.
type Rejections struct {
	Limit float64 // in a second, beyond which the server ends
	Count int     // since the last report
}

// fragility is the account of a server that states a rejection limit.
type fragility struct {
	limit     float64
	statedAt  time.Time
	rejected  []time.Time // within rejectionWindow
	ceiling   float64     // of the calls in flight
	ceilingAt time.Time   // zero: there is none
}

// learn takes a report on a server with a number of slots.
func (f *fragility) learn(r Rejections, slots int, now time.Time) {
	f.limit, f.statedAt = r.Limit, now
	for range r.Count {
		f.rejected = append(f.rejected, now)
	}
	if r.Count > 0 && now.Sub(f.ceilingAt) > rejectionEcho {
		f.ceiling, f.ceilingAt = max(1, f.most(float64(slots), now)-1), now
	}
}

func (f *fragility) inForce(now time.Time) bool {
	return !f.statedAt.IsZero() && now.Sub(f.statedAt) <= fragileTTL
}

// paused reports whether the server gets no call, since it has refused many of late.
func (f *fragility) paused(now time.Time) bool {
	for len(f.rejected) > 0 && now.Sub(f.rejected[0]) > rejectionWindow {
		f.rejected = f.rejected[1:]
	}
	return f.inForce(now) && float64(len(f.rejected)) >= max(1, math.Floor(usedRejections*f.limit))
}

// most returns how many calls the server takes from all routers together.
func (f *fragility) most(slots float64, now time.Time) float64 {
	if !f.ceilingAt.IsZero() && now.Sub(f.ceilingAt) <= ceilingTTL {
		return f.ceiling
	}
	return slots + 1
}
