package load

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"
)

// Constants of random faults. The system guarantees to survive the loss of one or two VMs at
// once if it can then evict them and move their journals. The interval between VM faults
// leaves the time for that.
const (
	vmFaultInterval      = 9 * time.Second
	vmDowntime           = 4 * time.Second
	engineFaultInterval  = 1500 * time.Millisecond
	engineDowntime       = 3 * time.Second
	serviceBreakInterval = 700 * time.Millisecond
	firstFaultAt         = 2 * time.Second // the system is under load by then
)

// RandomFaults generates a fault schedule. VMs are killed alone or in pairs and restarted,
// engines are killed, paused and slowed, and connections to services are broken. Equal
// seeds give equal schedules.
func RandomFaults(seed uint64, size SystemSize, duration time.Duration) []Fault {
	rng := rand.New(rand.NewPCG(seed, 0xfa))
	var out []Fault
	jitter := func(d time.Duration) time.Duration { return d/2 + time.Duration(rng.Int64N(int64(d))) }
	for at := firstFaultAt + jitter(vmFaultInterval/3); at < duration; at += vmFaultInterval + jitter(time.Second) {
		out = append(out, vmFaults(rng, at, size.VMs)...)
	}
	for at := firstFaultAt; at < duration; at += jitter(engineFaultInterval) {
		out = append(out, engineFaults(rng, at, size.Engines)...)
	}
	for at := firstFaultAt; size.ServiceServers > 0 && at < duration; at += jitter(serviceBreakInterval) {
		where := []string{"before", "after", "within"}[rng.IntN(3)]
		out = append(out, Fault{At: at, Op: "break", Target: "service", Number: 1 + rng.IntN(size.ServiceServers), Arg: where})
	}
	slices.SortStableFunc(out, func(a, b Fault) int { return cmp.Compare(a.At, b.At) })
	return out
}

// vmFaults kills one VM, or two at the same time, and restarts them after vmDowntime.
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
			Fault{At: at + vmDowntime, Op: "restart", Target: "vm", Number: vm + 1})
	}
	return out
}

func engineFaults(rng *rand.Rand, at time.Duration, engines int) []Fault {
	n := 1 + rng.IntN(engines)
	switch rng.IntN(3) {
	case 0:
		return []Fault{
			{At: at, Op: "kill", Target: "engine", Number: n},
			{At: at + engineDowntime, Op: "revive", Target: "engine", Number: n},
		}
	case 1:
		pause := time.Duration(1+rng.IntN(4)) * time.Second
		return []Fault{{At: at, Op: "pause", Target: "engine", Number: n, Arg: pause.String()}}
	default:
		return []Fault{
			{At: at, Op: "slow", Target: "engine", Number: n, Arg: strconv.Itoa(2 + rng.IntN(8))},
			{At: at + engineDowntime, Op: "slow", Target: "engine", Number: n, Arg: "1"},
		}
	}
}
