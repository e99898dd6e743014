package placement

import (
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/amaranthshelf/amaranthshelf/internal/virtualtime"
)

func TestServer(t *testing.T) {
	const call = 60 * time.Millisecond
	tests := []struct {
		name string
		all  []CallCandidate
		want int
	}{
		{"none", nil, -1},
		{"the less used", []CallCandidate{{Slots: 6, Own: 3}, {Slots: 6, Own: 1}}, 1},
		{"by its slots", []CallCandidate{{Slots: 6, Own: 2}, {Slots: 60, Own: 8}}, 1},
		{"near, among equals", []CallCandidate{{Slots: 6, Zone: "b"}, {Slots: 6, Zone: "a"}}, 1},
		{"load before nearness", []CallCandidate{{Slots: 6, Zone: "b"}, {Slots: 6, Zone: "a", Own: 1}}, 0},
		{"not the slow one", []CallCandidate{{Slots: 6, Zone: "a", Slowdown: 5}, {Slots: 6, Zone: "b", Slowdown: 1, Own: 1}}, 1},
		{"not the suspect", []CallCandidate{{Slots: 6, Zone: "a", Avoid: true}, {Slots: 6, Zone: "b", Own: 5}}, 1},
		{"a suspect if alone", []CallCandidate{{Slots: 6, Avoid: true}}, 0},
		{"a fresh report counts", []CallCandidate{{Slots: 6, Zone: "a", Reported: 6, CallTime: call}, {Slots: 6, Zone: "b", CallTime: call}}, 1},
		{"an old one does not", []CallCandidate{{Slots: 6, Zone: "a", Reported: 6, ReportAge: 6 * call, CallTime: call}, {Slots: 6, Zone: "b", CallTime: call}}, 0},
		{"old news of one server does not", []CallCandidate{{Slots: 6, Zone: "a", Others: 6}, {Slots: 6, Zone: "b"}}, 0},
		{"a report of an idle server draws while it is fresh", []CallCandidate{{Slots: 6, Zone: "a", Others: 4}, {Slots: 6, Zone: "b", Others: 4, CallTime: call}}, 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			if got, _ := ChooseServer(tt.all, "a", func(int) int { return 0 }); got != tt.want {
				t.Errorf("chose %d, want %d", got, tt.want)
			}
		})
	}
}

// The load of many VMs before few servers: each VM sends a few calls a second, and
// hears each 400 ms what the others had under way. Placed by that news as if it
// were current, all turn to the server that stood idle, and calls wait in line there
// while other servers are free.
func TestCallsDoNotFollowOldNews(t *testing.T) {
	tests := []struct {
		name       string
		load       callLoad
		most       time.Duration // mean wait
		mostByNews time.Duration // a bound that placing by news does not keep
	}{
		{"67 VMs, 7 servers, half used", callLoad{vms: 67, servers: 7, perSecond: 372, work: 60}, 2 * time.Millisecond, 40 * time.Millisecond},
		{"67 VMs, 7 servers, four fifths used", callLoad{vms: 67, servers: 7, perSecond: 560, work: 60}, 15 * time.Millisecond, 200 * time.Millisecond},
		{"87 VMs, 4 servers, three quarters used", callLoad{vms: 87, servers: 4, perSecond: 1200, work: 15}, 3500 * time.Microsecond, 60 * time.Millisecond},
		{"9 VMs, 3 servers, two thirds used", callLoad{vms: 9, servers: 3, perSecond: 200, work: 60}, 5 * time.Millisecond, 6 * time.Millisecond},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			placed := tt.load.meanWait(func(vm *callVM, rng *rand.Rand) int {
				i, _ := ChooseServer(vm.candidates(), vm.zone, rng.IntN)
				return i
			})
			byNews := tt.load.meanWait(placeByNews)
			random := tt.load.meanWait(func(vm *callVM, rng *rand.Rand) int { return rng.IntN(len(vm.known)) })
			t.Logf("mean wait: placed %v, by news %v, at random %v", placed, byNews, random)
			if placed > tt.most || byNews < tt.mostByNews {
				t.Errorf("mean wait: placed %v, want %v at most; by news %v", placed, tt.most, byNews)
			}
			if random < placed {
				t.Errorf("at random a call waits %v, placed %v", random, placed)
			}
		})
	}
}

// placeByNews takes what others and the servers last told for what is, whichever is
// more.
func placeByNews(vm *callVM, rng *rand.Rand) int {
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

// callLoad is a load of calls on servers of six slots, in three zones.
type callLoad struct {
	vms, servers int
	perSecond    float64 // calls
	work         float64 // of a call, mean, ms
}

const (
	simSlots  = 6
	simLength = 60 * time.Second
	simNews   = 400 * time.Millisecond
	simLink   = 2 * time.Millisecond
)

// callVM is what one VM knows.
type callVM struct {
	zone   string
	known  []CallCandidate
	told   []time.Time // when a server last answered
	queue  *virtualtime.Queue
	spoken []int // what the others were last told of its calls
}

func (vm *callVM) candidates() []CallCandidate {
	out := slices.Clone(vm.known)
	for s := range out {
		out[s].ReportAge = vm.queue.Now().Sub(vm.told[s])
	}
	return out
}

type callServer struct {
	running int
	waiting []func()
}

// callWorld plays one load.
type callWorld struct {
	load    callLoad
	queue   *virtualtime.Queue
	rng     *rand.Rand
	vms     []*callVM
	servers []*callServer
	waited  time.Duration
	calls   int
}

// meanWait plays the load and returns how long a call waits for a slot.
func (l callLoad) meanWait(place func(vm *callVM, rng *rand.Rand) int) time.Duration {
	w := &callWorld{load: l, queue: virtualtime.New(time.Unix(0, 0)), rng: rand.New(rand.NewPCG(1, 2))}
	zones := []string{"a", "b", "c"}
	for range l.servers {
		w.servers = append(w.servers, &callServer{})
	}
	for i := range l.vms {
		vm := &callVM{zone: zones[i%3], queue: w.queue, told: make([]time.Time, l.servers), spoken: make([]int, l.servers)}
		for s := range l.servers {
			vm.known = append(vm.known, CallCandidate{Zone: zones[s%3], Slots: simSlots})
		}
		w.vms = append(w.vms, vm)
		w.queue.After(time.Duration(w.rng.Int64N(int64(simNews))), func() { w.news(vm) })
	}
	w.queue.After(0, func() { w.arrive(place) })
	w.queue.Run(time.Unix(0, 0).Add(simLength))
	return w.waited / time.Duration(w.calls)
}

// news tells what a VM has under way and what the others last told.
func (w *callWorld) news(vm *callVM) {
	for s := range w.servers {
		vm.spoken[s] = vm.known[s].Own
		vm.known[s].Others = -vm.spoken[s]
		for _, other := range w.vms {
			vm.known[s].Others += other.spoken[s]
		}
	}
	w.queue.After(simNews, func() { w.news(vm) })
}

func (w *callWorld) arrive(place func(vm *callVM, rng *rand.Rand) int) {
	next := w.rng.ExpFloat64() / w.load.perSecond
	w.queue.After(time.Duration(next*float64(time.Second)), func() { w.arrive(place) })
	vm := w.vms[w.rng.IntN(len(w.vms))]
	s := place(vm, w.rng)
	vm.known[s].Own++
	w.queue.After(simLink, func() { w.serve(vm, s) })
}

func (w *callWorld) serve(vm *callVM, s int) {
	server, sent := w.servers[s], w.queue.Now()
	begin := func() {
		server.running++
		w.calls++
		w.waited += w.queue.Now().Sub(sent)
		w.queue.After(w.work(), func() { w.end(vm, s, sent) })
	}
	if server.running < simSlots {
		begin()
		return
	}
	server.waiting = append(server.waiting, begin)
}

// work draws a call's time: log-normal, and one in a hundred takes five times as long.
func (w *callWorld) work() time.Duration {
	const spread = 0.5
	ms := w.load.work * math.Exp(spread*w.rng.NormFloat64()-spread*spread/2)
	if w.rng.IntN(100) == 0 {
		ms *= 5
	}
	return time.Duration(ms * float64(time.Millisecond))
}

func (w *callWorld) end(vm *callVM, s int, sent time.Time) {
	server := w.servers[s]
	server.running--
	load := server.running + len(server.waiting)
	if len(server.waiting) > 0 {
		next := server.waiting[0]
		server.waiting = server.waiting[1:]
		next()
	}
	w.queue.After(simLink, func() {
		k := &vm.known[s]
		k.Own--
		k.Reported, vm.told[s] = max(0, load-k.Own), w.queue.Now()
		k.CallTime = w.queue.Now().Sub(sent)
	})
}
