package placement

import (
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/amaranthshelf/amaranthshelf/internal/virtualtime"
)

func TestChooseServer(t *testing.T) {
	const call = 60 * time.Millisecond
	tests := []struct {
		name string
		all  []CallCandidate
		want int
	}{
		{"none", nil, -1},
		{"less used server preferred", []CallCandidate{{Slots: 6, Own: 3}, {Slots: 6, Own: 1}}, 1},
		{"load relative to slots", []CallCandidate{{Slots: 6, Own: 2}, {Slots: 60, Own: 8}}, 1},
		{"own zone preferred among equals", []CallCandidate{{Slots: 6, Zone: "b"}, {Slots: 6, Zone: "a"}}, 1},
		{"load before own zone", []CallCandidate{{Slots: 6, Zone: "b"}, {Slots: 6, Zone: "a", Own: 1}}, 0},
		{"slow server avoided", []CallCandidate{{Slots: 6, Zone: "a", Slowdown: 5}, {Slots: 6, Zone: "b", Slowdown: 1, Own: 1}}, 1},
		{"suspected server avoided", []CallCandidate{{Slots: 6, Zone: "a", Avoid: true}, {Slots: 6, Zone: "b", Own: 5}}, 1},
		{"suspected server alone", []CallCandidate{{Slots: 6, Avoid: true}}, 0},
		{"fresh report counts", []CallCandidate{{Slots: 6, Zone: "a", Reported: 6, CallTime: call}, {Slots: 6, Zone: "b", CallTime: call}}, 1},
		{"old report does not count", []CallCandidate{{Slots: 6, Zone: "a", Reported: 6, ReportAge: 6 * call, CallTime: call}, {Slots: 6, Zone: "b", CallTime: call}}, 0},
		{"old peer report about one server does not count", []CallCandidate{{Slots: 6, Zone: "a", Others: 6}, {Slots: 6, Zone: "b"}}, 0},
		{"disturbed server avoided", []CallCandidate{{Slots: 6, Zone: "a", StatedSlowdown: 2.5}, {Slots: 6, Zone: "b", StatedSlowdown: 1}}, 1},
		{"old statement of a disturbance does not count", []CallCandidate{{Slots: 6, Zone: "a", StatedSlowdown: 2.5, ReportAge: 10 * slowdownDecay}, {Slots: 6, Zone: "b"}}, 0},
		{"fresh report of an idle server counts", []CallCandidate{{Slots: 6, Zone: "a", Others: 4}, {Slots: 6, Zone: "b", Others: 4, CallTime: call}}, 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			if got, _ := ChooseServer(tt.all, "a", func(int) int { return 0 }); got != tt.want {
				t.Errorf("got candidate %d, want %d", got, tt.want)
			}
		})
	}
}

// Many VMs send a few calls a second each to few servers, and receive one another's
// reports of calls in flight every 400 ms. If a VM treats these reports as current, all
// calls go to the server that was idle, and they wait there while other servers are free.
func TestCallsDoNotFollowStaleReports(t *testing.T) {
	tests := []struct {
		name           string
		load           callWorkload
		most           time.Duration // upper bound of the mean wait
		leastByReports time.Duration // lower bound of the mean wait if placed by old reports
	}{
		{"67 VMs, 7 servers, half used", callWorkload{vms: 67, servers: 7, perSecond: 372, work: 60}, 2 * time.Millisecond, 40 * time.Millisecond},
		{"67 VMs, 7 servers, four fifths used", callWorkload{vms: 67, servers: 7, perSecond: 560, work: 60}, 15 * time.Millisecond, 200 * time.Millisecond},
		{"87 VMs, 4 servers, three quarters used", callWorkload{vms: 87, servers: 4, perSecond: 1200, work: 15}, 3500 * time.Microsecond, 60 * time.Millisecond},
		{"9 VMs, 3 servers, two thirds used", callWorkload{vms: 9, servers: 3, perSecond: 200, work: 60}, 5 * time.Millisecond, 6 * time.Millisecond},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			placed := tt.load.meanWait(func(vm *callVM, rng *rand.Rand) int {
				i, _ := ChooseServer(vm.candidates(), vm.zone, rng.IntN)
				return i
			})
			byReports := tt.load.meanWait(placeByReports)
			random := tt.load.meanWait(func(vm *callVM, rng *rand.Rand) int { return rng.IntN(len(vm.known)) })
			t.Logf("mean wait: placed %v, by reports %v, at random %v", placed, byReports, random)
			if placed > tt.most || byReports < tt.leastByReports {
				t.Errorf("mean wait: placed %v, want %v at most; by reports %v, want the lower bound of the case or more", placed, tt.most, byReports)
			}
			if random < placed {
				t.Errorf("mean wait: at random %v, placed %v; want placed to be shorter", random, placed)
			}
		})
	}
}

// Servers' machines are shared for some hundred milliseconds at a time, and calls take 2.5
// times as long meanwhile. Calls must not be sent there while the server says so, and must be
// sent there again afterwards. The log compares the share of calls that took long.
func TestCallsLeaveDisturbedServers(t *testing.T) {
	tests := []struct {
		name string
		load callWorkload
	}{
		{"8 VMs, 5 servers", callWorkload{vms: 8, servers: 5, perSecond: 200, work: 60, disturbed: 0.15}},
		{"8 VMs, 5 servers, much load", callWorkload{vms: 8, servers: 5, perSecond: 320, work: 60, disturbed: 0.15}},
		{"72 VMs, 5 servers", callWorkload{vms: 72, servers: 5, perSecond: 186, work: 60, disturbed: 0.15}},
	}
	policies := []struct {
		name   string
		change func(c *CallCandidate)
	}{
		{"decayed", func(*CallCandidate) {}},
		{"not used", func(c *CallCandidate) { c.StatedSlowdown = 0 }},
		{"last value", func(c *CallCandidate) { c.Slowdown, c.StatedSlowdown = c.StatedSlowdown, 0 }},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			long := map[string]float64{}
			for _, policy := range policies {
				w := tt.load.simulate(func(vm *callVM, rng *rand.Rand) int {
					candidates := vm.candidates()
					for i := range candidates {
						policy.change(&candidates[i])
					}
					i, _ := ChooseServer(candidates, vm.zone, rng.IntN)
					return i
				})
				long[policy.name] = w.shareOver(200 * time.Millisecond)
			}
			t.Logf("share of calls over 200 ms: %v", long)
			if long["decayed"] > long["not used"] {
				t.Errorf("got shares %v, want no more long calls with the servers' statements than without", long)
			}
		})
	}
}

// shareOver returns the share of the calls that took longer than d.
func (w *callSim) shareOver(d time.Duration) float64 {
	n := 0
	for _, took := range w.took {
		if took > d {
			n++
		}
	}
	return float64(n) / float64(len(w.took))
}

// placeByReports treats the last reports of the other VMs and of the servers as current,
// and uses the higher load of the two.
func placeByReports(vm *callVM, rng *rand.Rand) int {
	const reportFor = 300 * time.Millisecond
	known := vm.candidates()
	load := func(s int) int {
		if known[s].ReportAge < reportFor {
			return known[s].Own + max(known[s].Others, known[s].Reported)
		}
		return known[s].Own + known[s].Others
	}
	best, ties := 0, 0
	for s := range known {
		switch {
		case load(s) < load(best):
			best, ties = s, 1
		case load(s) == load(best):
			ties++
			if rng.IntN(ties) == 0 {
				best = s
			}
		}
	}
	return best
}

// callWorkload describes simulated traffic: how many VMs send calls to how many servers, at
// which rate, and how long a call runs. A server has simSlots slots; VMs and servers are
// spread over three zones.
type callWorkload struct {
	vms, servers int
	perSecond    float64 // calls of all VMs together
	work         float64 // mean duration of a call in ms
	// disturbed is the share of its time for which a server's machine is shared with work
	// that makes calls take disturbedFactor as long.
	disturbed float64
}

const (
	simSlots       = 6
	simLength      = 60 * time.Second
	reportInterval = 400 * time.Millisecond
	linkDelay      = 2 * time.Millisecond

	disturbancePeriod = 600 * time.Millisecond
	disturbedFactor   = 2.5
)

// callVM is what one VM knows about the servers and the reports of the other VMs.
type callVM struct {
	zone       string
	known      []CallCandidate
	answeredAt []time.Time // by server, time of its last answer
	queue      *virtualtime.Queue
	published  []int // by server, the calls in its last report to the others
}

func (vm *callVM) candidates() []CallCandidate {
	out := slices.Clone(vm.known)
	for s := range out {
		out[s].ReportAge = vm.queue.Now().Sub(vm.answeredAt[s])
	}
	return out
}

type callServer struct {
	running  int
	waiting  []func()
	slowdown float64
}

// callSim simulates one workload.
type callSim struct {
	workload callWorkload
	queue    *virtualtime.Queue
	rng      *rand.Rand
	vms      []*callVM
	servers  []*callServer
	waited   time.Duration
	took     []time.Duration // by call, from the send to the answer
	calls    int
}

// meanWait simulates the workload and returns the mean time that a call waits for a slot.
func (l callWorkload) meanWait(place func(vm *callVM, rng *rand.Rand) int) time.Duration {
	w := l.simulate(place)
	return w.waited / time.Duration(w.calls)
}

func (l callWorkload) simulate(place func(vm *callVM, rng *rand.Rand) int) *callSim {
	w := &callSim{workload: l, queue: virtualtime.New(time.Unix(0, 0)), rng: rand.New(rand.NewPCG(1, 2))}
	zones := []string{"a", "b", "c"}
	for range l.servers {
		server := &callServer{slowdown: 1}
		w.servers = append(w.servers, server)
		if l.disturbed > 0 {
			w.queue.After(time.Duration(w.rng.Int64N(int64(disturbancePeriod))), func() { w.disturb(server) })
		}
	}
	for i := range l.vms {
		vm := &callVM{zone: zones[i%3], queue: w.queue, answeredAt: make([]time.Time, l.servers), published: make([]int, l.servers)}
		for s := range l.servers {
			vm.known = append(vm.known, CallCandidate{Zone: zones[s%3], Slots: simSlots})
		}
		w.vms = append(w.vms, vm)
		w.queue.After(time.Duration(w.rng.Int64N(int64(reportInterval))), func() { w.exchangeReports(vm) })
	}
	w.queue.After(0, func() { w.arrive(place) })
	w.queue.Run(time.Unix(0, 0).Add(simLength))
	return w
}

// disturb draws anew whether a server's machine is shared.
func (w *callSim) disturb(server *callServer) {
	server.slowdown = 1
	if w.rng.Float64() < w.workload.disturbed {
		server.slowdown = disturbedFactor
	}
	w.queue.After(disturbancePeriod, func() { w.disturb(server) })
}

// exchangeReports publishes a VM's calls in flight and reads the last reports of the
// others.
func (w *callSim) exchangeReports(vm *callVM) {
	for s := range w.servers {
		vm.published[s] = vm.known[s].Own
		vm.known[s].Others = -vm.published[s]
		for _, other := range w.vms {
			vm.known[s].Others += other.published[s]
		}
	}
	w.queue.After(reportInterval, func() { w.exchangeReports(vm) })
}

func (w *callSim) arrive(place func(vm *callVM, rng *rand.Rand) int) {
	next := w.rng.ExpFloat64() / w.workload.perSecond
	w.queue.After(time.Duration(next*float64(time.Second)), func() { w.arrive(place) })
	vm := w.vms[w.rng.IntN(len(w.vms))]
	s := place(vm, w.rng)
	vm.known[s].Own++
	w.queue.After(linkDelay, func() { w.serve(vm, s) })
}

func (w *callSim) serve(vm *callVM, s int) {
	server, sent := w.servers[s], w.queue.Now()
	begin := func() {
		server.running++
		w.calls++
		w.waited += w.queue.Now().Sub(sent)
		w.queue.After(time.Duration(server.slowdown*float64(w.work())), func() { w.end(vm, s, sent) })
	}
	if server.running < simSlots {
		begin()
		return
	}
	server.waiting = append(server.waiting, begin)
}

// work returns a random call duration: log-normal, and five times as long for one call in
// a hundred.
func (w *callSim) work() time.Duration {
	const spread = 0.5
	ms := w.workload.work * math.Exp(spread*w.rng.NormFloat64()-spread*spread/2)
	if w.rng.IntN(100) == 0 {
		ms *= 5
	}
	return time.Duration(ms * float64(time.Millisecond))
}

func (w *callSim) end(vm *callVM, s int, sent time.Time) {
	server := w.servers[s]
	server.running--
	load, stated := server.running+len(server.waiting), server.slowdown
	if len(server.waiting) > 0 {
		next := server.waiting[0]
		server.waiting = server.waiting[1:]
		next()
	}
	w.queue.After(linkDelay, func() {
		k := &vm.known[s]
		k.Own--
		k.Reported, vm.answeredAt[s] = max(0, load-k.Own), w.queue.Now()
		k.CallTime = w.queue.Now().Sub(sent)
		k.StatedSlowdown = stated
		w.took = append(w.took, k.CallTime)
	})
}
