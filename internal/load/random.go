package load

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"
)

// Figures of random faults. A VM that was lost is given time to be evicted and
// its journals to be moved before the next one goes, as the promise has it; two
// at once count as one loss.
const (
	vmFaultEvery     = 9 * time.Second
	vmDownFor        = 4 * time.Second
	engineFaultEvery = 1500 * time.Millisecond
	engineDownFor    = 3 * time.Second
	serviceBreaks    = 700 * time.Millisecond
	faultsFrom       = 2 * time.Second // the system is loaded by then
)

// RandomFaults draws a fault schedule: VMs lost alone or in pairs and restarted,
// engines killed, paused and slowed, connections of services broken. Equal
// seeds give equal schedules.
func RandomFaults(seed uint64, size SystemSize, duration time.Duration) []Fault {
	rng := rand.New(rand.NewPCG(seed, 0xfa))
	var out []Fault
	jitter := func(d time.Duration) time.Duration { return d/2 + time.Duration(rng.Int64N(int64(d))) }
	for at := faultsFrom + jitter(vmFaultEvery/3); at < duration; at += vmFaultEvery + jitter(time.Second) {
		out = append(out, vmFaults(rng, at, size.VMs)...)
	}
	for at := faultsFrom; at < duration; at += jitter(engineFaultEvery) {
		out = append(out, engineFaults(rng, at, size.Engines)...)
	}
	for at := faultsFrom; size.ServiceServers > 0 && at < duration; at += jitter(serviceBreaks) {
		where := []string{"before", "after", "within"}[rng.IntN(3)]
		out = append(out, Fault{At: at, Op: "break", Target: "service", Number: 1 + rng.IntN(size.ServiceServers), Arg: where})
	}
	slices.SortStableFunc(out, func(a, b Fault) int { return cmp.Compare(a.At, b.At) })
	return out
}

// vmFaults loses one VM or two together, and starts them again.
func vmFaults(rng *rand.Rand, at time.Duration, vms int) []Fault {
	first := rng.IntN(vms)
	lost := []int{first}
	if vms >= 5 && rng.IntN(2) == 0 {
		lost = append(lost, (first+1+rng.IntN(vms-1))%vms)
	}
	var out []Fault
	for _, vm := range lost {
		out = append(out,
			Fault{At: at, Op: "kill", Target: "vm", Number: vm + 1},
			Fault{At: at + vmDownFor, Op: "restart", Target: "vm", Number: vm + 1})
	}
	return out
}

func engineFaults(rng *rand.Rand, at time.Duration, engines int) []Fault {
	n := 1 + rng.IntN(engines)
	switch rng.IntN(3) {
	case 0:
		return []Fault{
			{At: at, Op: "kill", Target: "engine", Number: n},
			{At: at + engineDownFor, Op: "revive", Target: "engine", Number: n},
		}
	case 1:
		pause := time.Duration(1+rng.IntN(4)) * time.Second
		return []Fault{{At: at, Op: "pause", Target: "engine", Number: n, Arg: pause.String()}}
	default:
		return []Fault{
			{At: at, Op: "slow", Target: "engine", Number: n, Arg: strconv.Itoa(2 + rng.IntN(8))},
			{At: at + engineDownFor, Op: "slow", Target: "engine", Number: n, Arg: "1"},
		}
	}
}
