package backpressure

import "time"

// The load pattern. A server that is overloaded ends if it has to refuse more than a few requests
// in a second for want of room, and says so in its answers beforehand. The VMs know of each
// other's requests only after some hundred milliseconds: at the end of a burst, or when a server
// has come back, all of them find it idle and send it what waits.
//
// One control VM therefore grants the requests to such a server: see package callqueue. A VM
// without a grant uses its share of the server's slots, and after a refusal sends nothing there
// for a time. All VMs together then cause half of the refusals that the server bears.

const (
	// minRejectionPause and maxRejectionPause bound the time for which a VM sends nothing
	// without a grant after a refusal.
	minRejectionPause = 250 * time.Millisecond
	maxRejectionPause = 4 * time.Second
	// usedRejections is the part of the refusals that all VMs together may cause.
	usedRejections = 0.5
)

// rejections is what a VM knows of the refusals that a server bears.
type rejections struct {
	// limit holds the number of refusals in a second beyond which the server ends, as Rate.
	limit      Limit
	pauseUntil time.Time // no request without a grant is sent before
}

// RejectionLimit returns how many requests the server can refuse in a second without ending, and
// false if it has stated none.
func (s *Server) RejectionLimit() (perSecond float64, fragile bool) {
	return s.rejections.limit.Rate, s.rejections.limit.InForce()
}

// Rejected records that the server refused a request for want of room. vms is the number of VMs
// that send, this one included.
func (s *Server) Rejected(vms int, now time.Time) {
	perSecond, fragile := s.RejectionLimit()
	if !fragile {
		return
	}
	pause := maxRejectionPause
	if perSecond > 0 {
		seconds := float64(max(1, vms)) / (usedRejections * perSecond)
		pause = time.Duration(min(seconds, maxRejectionPause.Seconds()) * float64(time.Second))
	}
	s.rejections.pauseUntil = now.Add(max(pause, minRejectionPause))
}

// Sender is a VM that sends requests to a server, as one of several.
type Sender struct {
	VMs      int // that send, this one included
	Rank     int // in an order of the VMs that differs from server to server; the first is 0
	InFlight int // requests of this VM at the server
}

// MaySendUngranted reports whether a VM may send a request to the server without a grant. Where
// there are more VMs than slots, the first ones have one each.
func (s *Server) MaySendUngranted(v Sender, slots int, now time.Time) bool {
	if _, fragile := s.RejectionLimit(); !fragile {
		return true
	}
	slots, vms := max(1, slots), max(1, v.VMs)
	share := slots / vms
	if v.Rank < slots%vms {
		share++
	}
	return !now.Before(s.rejections.pauseUntil) && v.InFlight < share
}

// Refuses reports whether the server has refused a request so lately that nothing is to be sent
// there without a grant.
func (s *Server) Refuses(now time.Time) bool {
	_, fragile := s.RejectionLimit()
	return fragile && now.Before(s.rejections.pauseUntil)
}

// learnRejections takes what an answer states of the refusals that the server bears.
func (s *Server) learnRejections(st LimitStatement, sent, now time.Time) Change {
	former := s.rejections.limit
	s.rejections.limit = former.learn(st, sent, now)
	switch {
	case !former.InForce() && s.rejections.limit.InForce():
		return FragilityLearned
	case former.InForce() && !s.rejections.limit.InForce():
		return FragilityEnded
	}
	return Unchanged
}
