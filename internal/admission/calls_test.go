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
		{"free slot", admission.CallWait{Load: 1, ServiceTime: 60 * ms, Objective: 300 * ms}, admission.SendCall},
		{"free slot, work longer than the objective", admission.CallWait{Load: 0.9, ServiceTime: 900 * ms, Objective: 300 * ms}, admission.SendCall},
		{"queue that is short enough", admission.CallWait{Load: 3, ServiceTime: 60 * ms, Objective: 300 * ms}, admission.SendCall},
		{"queue that is too long", admission.CallWait{Load: 5, ServiceTime: 60 * ms, Objective: 300 * ms}, admission.HoldCall},
		{"queue that is too long, held for the maximum", admission.CallWait{Load: 5, ServiceTime: 60 * ms, Objective: 300 * ms, Held: 40 * ms}, admission.RefuseCall},
		{"service time unknown", admission.CallWait{Load: 9, Objective: 300 * ms}, admission.SendCall},
		{"no objective", admission.CallWait{Load: 9, ServiceTime: 60 * ms}, admission.SendCall},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			if got := tt.wait.Decide(); got != tt.want {
				t.Errorf("got verdict %d, want %d", got, tt.want)
			}
			low, high := tt.wait.RetryAfter(0), tt.wait.RetryAfter(0.999)
			if low < 50*ms || high > 2*time.Second || high < low+low/2 {
				t.Errorf("got retry after %v to %v, want 50ms or more, 2s or less, and a spread of half the lower bound", low, high)
			}
		})
	}
}

// callServers answer calls with a number of slots each, queue some more, and shed the
// rest.
type callServers struct {
	running [3][]runningCall
	queue   [3][]*simCall
	sheds   int
}

type runningCall struct {
	call *simCall
	ends int // ms
}

type simCall struct {
	vm, arrivedAt, tries, retryAt int // ms
	answered                      int // ms; 0: not answered
	refused                       bool
	server, sent                  int
}

const (
	callSlots, callQueue = 6, 24
	callObjective        = 300
	callWork             = 60.0
	reportInterval       = 400
)

func (s *callServers) load(i int) int { return len(s.running[i]) + len(s.queue[i]) }

// send reports false if the server sheds the call.
func (s *callServers) send(now, i int, c *simCall) bool {
	if s.load(i) >= callSlots+callQueue {
		s.sheds++
		return false
	}
	c.server, c.sent = i, now
	s.queue[i] = append(s.queue[i], c)
	return true
}

func (s *callServers) tick(now int, rng *rand.Rand, answered func(*simCall)) {
	for i := range s.running {
		var remaining []runningCall
		for _, b := range s.running[i] {
			if b.ends > now {
				remaining = append(remaining, b)
				continue
			}
			b.call.answered = now
			answered(b.call)
		}
		for len(remaining) < callSlots && len(s.queue[i]) > 0 {
			remaining = append(remaining, runningCall{s.queue[i][0], now + max(1, int(callWork*(0.5+rng.Float64())))})
			s.queue[i] = s.queue[i][1:]
		}
		s.running[i] = remaining
	}
}

// overload simulates calls from ten VMs beyond what the servers can answer, and returns
// the share that is answered in time. VMs know the others' calls from peer reports, and a
// server's load from its last answer to them.
func overload(admit bool) (inTime float64, sheds int) {
	rng := rand.New(rand.NewPCG(3, 3))
	var s callServers
	const vms, perMS, span = 10, 0.36, 8000
	var own [vms][3]int
	var published [3]int
	var reported, answeredAt [vms][3]int
	var latency [vms]float64
	var all, waiting []*simCall
	place := func(now int, c *simCall) (int, float64) {
		candidates := make([]placement.CallCandidate, 3)
		for i := range candidates {
			candidates[i] = placement.CallCandidate{
				Slots: callSlots, Own: own[c.vm][i], Others: max(0, published[i]-own[c.vm][i]), Reported: reported[c.vm][i],
				ReportAge: time.Duration(now-answeredAt[c.vm][i]) * time.Millisecond, CallTime: time.Duration(latency[c.vm] * float64(time.Millisecond)), Slowdown: 1,
			}
		}
		return placement.ChooseServer(candidates, "", rng.IntN)
	}
	try := func(now int, c *simCall) {
		i, load := place(now, c)
		if admit {
			w := admission.CallWait{Load: load, ServiceTime: callWork * time.Millisecond, Objective: callObjective * time.Millisecond}
			w.Held = time.Duration(now-max(c.arrivedAt, c.retryAt)) * time.Millisecond
			switch w.Decide() {
			case admission.HoldCall:
				waiting = append(waiting, c)
				return
			case admission.RefuseCall:
				c.tries++
				c.retryAt, c.refused = now+int(w.RetryAfter(rng.Float64()).Milliseconds()), true
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
		c.retryAt, c.refused = now+150, true
	}
	for now := 1; now < span+2000; now++ {
		if now%reportInterval == 0 {
			for i := range published {
				published[i] = s.load(i)
			}
		}
		s.tick(now, rng, func(c *simCall) {
			own[c.vm][c.server]--
			latency[c.vm] += 0.2 * (float64(now-c.sent) - latency[c.vm])
			reported[c.vm][c.server], answeredAt[c.vm][c.server] = s.load(c.server)-own[c.vm][c.server], now
		})
		held := waiting
		waiting = nil
		for _, c := range held {
			try(now, c)
		}
		for _, c := range all {
			if c.refused && c.tries < 2 && now >= c.retryAt {
				c.refused = false
				try(now, c)
			}
		}
		if now < span && rng.Float64() < perMS {
			c := &simCall{vm: rng.IntN(vms), arrivedAt: now}
			all = append(all, c)
			try(now, c)
		}
	}
	n := 0
	for _, c := range all {
		if c.answered > 0 && c.answered-c.arrivedAt <= callObjective {
			n++
		}
	}
	return math.Round(100*float64(n)/float64(len(all))) / 100, s.sheds
}

// A service gets a little more than it can answer: calls arrive at 1.2 times the servers'
// rate for eight seconds. The queues fill, each call that is shed is retried at the next
// server, and answers come late. If calls are sent only when they can be in time, the
// queues stay short, and a few callers are refused with a retry time.
func TestCallsBeyondServerCapacity(t *testing.T) {
	inTimeWithout, shedsWithout := overload(false)
	inTimeWith, shedsWith := overload(true)
	const ceiling = 1 / 1.2 // share of the calls that can be answered at all
	if inTimeWith < 0.75*ceiling || inTimeWith < inTimeWithout+0.2 || shedsWith > shedsWithout/10 {
		t.Errorf("got %.2f in time and %d sheds without admission, %.2f and %d with it; want 0.75 of the capacity in time, 0.2 more than without, and at most a tenth of the sheds", inTimeWithout, shedsWithout, inTimeWith, shedsWith)
	}
}
