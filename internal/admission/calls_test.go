package admission_test

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/amaranthshelf/amaranthshelf/internal/admission"
	"github.com/amaranthshelf/amaranthshelf/internal/placement"
)

func TestCallDecisions(t *testing.T) {
	const ms = time.Millisecond
	tests := []struct {
		name string
		wait admission.CallWait
		want admission.CallVerdict
	}{
		{"a free slot", admission.CallWait{Load: 1, ServiceTime: 60 * ms, Objective: 300 * ms}, admission.SendCall},
		{"a free slot for work that is late anyhow", admission.CallWait{Load: 0.9, ServiceTime: 900 * ms, Objective: 300 * ms}, admission.SendCall},
		{"a queue that moves in time", admission.CallWait{Load: 3, ServiceTime: 60 * ms, Objective: 300 * ms}, admission.SendCall},
		{"a queue that does not", admission.CallWait{Load: 5, ServiceTime: 60 * ms, Objective: 300 * ms}, admission.HoldCall},
		{"the same, held for long", admission.CallWait{Load: 5, ServiceTime: 60 * ms, Objective: 300 * ms, Held: 40 * ms}, admission.RefuseCall},
		{"nothing known of the work", admission.CallWait{Load: 9, Objective: 300 * ms}, admission.SendCall},
		{"no objective", admission.CallWait{Load: 9, ServiceTime: 60 * ms}, admission.SendCall},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			if got := tt.wait.Decide(); got != tt.want {
				t.Errorf("verdict %d, want %d", got, tt.want)
			}
			low, high := tt.wait.RetryAfter(0), tt.wait.RetryAfter(0.999)
			if low < 50*ms || high > 2*time.Second || high < low+low/2 {
				t.Errorf("retry after %v to %v", low, high)
			}
		})
	}
}

// callServers answer calls with a number of slots each, queue some more, and shed the rest.
type callServers struct {
	busy  [3][]callInWork
	queue [3][]*simCall
	sheds int
}

type callInWork struct {
	call *simCall
	ends int // ms
}

type simCall struct {
	vm, came, tries, again int // ms
	answered               int // ms; 0: not
	refused                bool
	server, sent           int
}

const (
	callSlots, callQueue = 6, 24
	callObjective        = 300
	callWork             = 60.0
	newsEvery            = 400
)

func (s *callServers) there(i int) int { return len(s.busy[i]) + len(s.queue[i]) }

// send reports false where the server sheds the call.
func (s *callServers) send(now, i int, c *simCall) bool {
	if s.there(i) >= callSlots+callQueue {
		s.sheds++
		return false
	}
	c.server, c.sent = i, now
	s.queue[i] = append(s.queue[i], c)
	return true
}

func (s *callServers) tick(now int, rng *rand.Rand, answered func(*simCall)) {
	for i := range s.busy {
		var going []callInWork
		for _, b := range s.busy[i] {
			if b.ends > now {
				going = append(going, b)
				continue
			}
			b.call.answered = now
			answered(b.call)
		}
		for len(going) < callSlots && len(s.queue[i]) > 0 {
			going = append(going, callInWork{s.queue[i][0], now + max(1, int(callWork*(0.5+rng.Float64())))})
			s.queue[i] = s.queue[i][1:]
		}
		s.busy[i] = going
	}
}

// overload plays calls from ten VMs beyond what the servers can answer, and
// returns the share that is in time. VMs know the others' calls by news, and a server by
// its last answer to them.
func overload(admit bool) (inTime float64, sheds int) {
	rng := rand.New(rand.NewPCG(3, 3))
	var s callServers
	const vms, perMS, span = 10, 0.36, 8000
	var own [vms][3]int
	var news [3]int
	var reported, told [vms][3]int
	var latency [vms]float64
	var all, waiting []*simCall
	place := func(now int, c *simCall) (int, float64) {
		candidates := make([]placement.CallCandidate, 3)
		for i := range candidates {
			candidates[i] = placement.CallCandidate{
				Slots: callSlots, Own: own[c.vm][i], Others: max(0, news[i]-own[c.vm][i]), Reported: reported[c.vm][i],
				ReportAge: time.Duration(now-told[c.vm][i]) * time.Millisecond, CallTime: time.Duration(latency[c.vm] * float64(time.Millisecond)), Slowdown: 1,
			}
		}
		return placement.ChooseServer(candidates, "", rng.IntN)
	}
	try := func(now int, c *simCall) {
		i, load := place(now, c)
		if admit {
			w := admission.CallWait{Load: load, ServiceTime: callWork * time.Millisecond, Objective: callObjective * time.Millisecond}
			w.Held = time.Duration(now-max(c.came, c.again)) * time.Millisecond
			switch w.Decide() {
			case admission.HoldCall:
				waiting = append(waiting, c)
				return
			case admission.RefuseCall:
				c.tries++
				c.again, c.refused = now+int(w.RetryAfter(rng.Float64()).Milliseconds()), true
				return
			case admission.SendCall:
			}
		}
		for k := range 3 {
			if s.send(now, (i+k)%3, c) {
				own[c.vm][c.server]++
				return
			}
		}
		c.tries++
		c.again, c.refused = now+150, true
	}
	for now := 1; now < span+2000; now++ {
		if now%newsEvery == 0 {
			for i := range news {
				news[i] = s.there(i)
			}
		}
		s.tick(now, rng, func(c *simCall) {
			own[c.vm][c.server]--
			latency[c.vm] += 0.2 * (float64(now-c.sent) - latency[c.vm])
			reported[c.vm][c.server], told[c.vm][c.server] = s.there(c.server)-own[c.vm][c.server], now
		})
		held := waiting
		waiting = nil
		for _, c := range held {
			try(now, c)
		}
		for _, c := range all {
			if c.refused && c.tries < 2 && now >= c.again {
				c.refused = false
				try(now, c)
			}
		}
		if now < span && rng.Float64() < perMS {
			c := &simCall{vm: rng.IntN(vms), came: now}
			all = append(all, c)
			try(now, c)
		}
	}
	n := 0
	for _, c := range all {
		if c.answered > 0 && c.answered-c.came <= callObjective {
			n++
		}
	}
	return math.Round(100*float64(n)/float64(len(all))) / 100, s.sheds
}

// Callers of a service that gets a little more than it can answer wait for as long as
// its queues are, and hear too late. In order: calls come at 1.2 times the servers' pace
// for eight seconds; the queues fill, and each call that is shed is tried at the next
// server. With calls sent only where they can be in time the queues stay short, and a few
// are told to come back.
func TestCallsBeyondTheServersPace(t *testing.T) {
	before, tried := overload(false)
	after, sheds := overload(true)
	const ceiling = 1 / 1.2 // of what comes can be answered at all
	if after < 0.75*ceiling || after < before+0.2 || sheds > tried/10 {
		t.Errorf("%.2f in time and %d sheds where all are tried, %.2f and %d where they are admitted", before, tried, after, sheds)
	}
}
