package control

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"runtime"
	"slices"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"github.com/amaranthshelf/amaranthshelf/internal/codec"
	"github.com/amaranthshelf/amaranthshelf/internal/peer"
)

// loopback is a deployment in one process that uses real sockets and disks.
type loopback struct {
	b        *testing.B
	vms      []*vm
	networks []*peer.Network
	servers  []*http.Server

	mu             sync.Mutex
	appliedVMs     map[string]int // item to the number of VMs that have applied it
	appliedByAllAt map[string]time.Time
}

func startLoopback(b *testing.B, voters, all int) *loopback {
	l := &loopback{b: b, appliedVMs: map[string]int{}, appliedByAllAt: map[string]time.Time{}}
	var ids, voterIDs []string
	addrs := map[string]string{}
	var listeners []net.Listener
	for i := range all {
		id := fmt.Sprintf("vm%d", i+1)
		ids = append(ids, id)
		if i < voters {
			voterIDs = append(voterIDs, id)
		}
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			b.Fatal(err)
		}
		listeners = append(listeners, ln)
		addrs[id] = ln.Addr().String()
	}
	addr := func(id string) (string, bool) { return addrs[id], true }
	for i, id := range ids {
		n := peer.NewNetwork(id, "t", addr, zerolog.Nop())
		l.networks = append(l.networks, n)
		l.add(n, id, voterIDs)
		s := &http.Server{Handler: n, ReadHeaderTimeout: time.Second}
		l.servers = append(l.servers, s)
		go func() { _ = s.Serve(listeners[i]) }()
	}
	for _, v := range l.vms {
		if v.group != nil {
			if err := v.group.Start(); err != nil {
				b.Fatal(err)
			}
		}
		v.feed.Start()
	}
	return l
}

func (l *loopback) add(n *peer.Network, id string, voters []string) {
	v := &vm{id: id, state: NewReplicatedState(), failed: make(chan error, 1)}
	v.state.Register(PlansStateMachine, &listMachine{})
	v.feed = NewFeed(FeedOptions{Self: id, Voters: FixedVMs(voters), Transport: n, Lease: testLease, Log: zerolog.Nop()})
	v.feed.OnChange(PlansStateMachine, l.apply)
	if slices.Contains(voters, id) {
		v.group = NewGroup(GroupOptions{
			VM: id, Voters: voters, Dir: l.b.TempDir(), Transport: n, State: v.state,
			Lease: testLease, Log: zerolog.Nop(), OnFailure: func(err error) { l.b.Error(err) },
		})
	}
	v.client = v.feed.Client(v.group)
	l.vms = append(l.vms, v)
}

func (l *loopback) apply(data []byte) {
	var items []string
	if err := codec.Unmarshal(data, &items); err != nil {
		l.b.Error(err)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, item := range items {
		l.appliedVMs[item]++
		if l.appliedVMs[item] == len(l.vms) {
			l.appliedByAllAt[item] = time.Now()
		}
	}
}

func (l *loopback) appliedByAll(item string) (time.Time, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	at, ok := l.appliedByAllAt[item]
	return at, ok
}

func (l *loopback) stop() {
	for _, v := range l.vms {
		v.feed.Close()
	}
	for _, v := range l.vms {
		if v.group != nil {
			v.group.Close()
		}
	}
	for i := range l.networks {
		l.networks[i].Close()
		_ = l.servers[i].Close()
	}
}

func (l *loopback) waitFresh() {
	for range 1000 {
		if l.countFresh() == len(l.vms) {
			return
		}
		<-time.After(10 * time.Millisecond)
	}
	l.b.Fatalf("got %d of %d VMs fresh, want all", l.countFresh(), len(l.vms))
}

func (l *loopback) countFresh() int {
	n := 0
	for _, v := range l.vms {
		if v.feed.Fresh() {
			n++
		}
	}
	return n
}

var sizes = []struct{ voters, all int }{{3, 11}, {5, 55}, {5, 110}, {5, 220}, {5, 330}}

func percentile(d []time.Duration, p float64) float64 {
	slices.Sort(d)
	return float64(d[int(p*float64(len(d)-1))]) / float64(time.Millisecond)
}

// BenchmarkInForce measures three times of an operator's change: commit, from the request
// to the reply; last, from the reply until the last VM applies the change; waited, from the
// reply to the report that the change is in force everywhere.
func BenchmarkInForce(b *testing.B) {
	for _, size := range sizes {
		b.Run(fmt.Sprintf("vms=%d", size.all), func(b *testing.B) {
			l := startLoopback(b, size.voters, size.all)
			defer l.stop()
			l.waitFresh()
			<-time.After(expiredLease(testLease))
			var commit, last, waited []time.Duration
			i := 0
			for b.Loop() {
				i++
				item := fmt.Sprint("change-", i)
				from := l.vms[i%len(l.vms)].client
				began := time.Now()
				version, err := Propose[int](context.Background(), from, PlansStateMachine, item)
				accepted := time.Now()
				if err != nil {
					b.Fatal(err)
				}
				if err := WaitInForce(context.Background(), from, PlansStateMachine, uint64(version)); err != nil {
					b.Fatal(err)
				}
				at, ok := l.appliedByAll(item)
				if !ok {
					b.Fatal("change reported in force before every VM applied it")
				}
				commit = append(commit, accepted.Sub(began))
				last = append(last, max(0, at.Sub(accepted)))
				waited = append(waited, time.Since(accepted))
			}
			b.ReportMetric(percentile(commit, 0.5), "commit-p50-ms")
			b.ReportMetric(percentile(last, 0.5), "last-p50-ms")
			b.ReportMetric(percentile(last, 0.99), "last-p99-ms")
			b.ReportMetric(percentile(waited, 0.99), "waited-p99-ms")
		})
	}
}

// BenchmarkIdle measures the cost of the control traffic without changes, as the average
// CPU share and heap of a VM. Run it with -benchtime 1x, since an iteration takes ten
// seconds.
func BenchmarkIdle(b *testing.B) {
	for _, size := range sizes {
		b.Run(fmt.Sprintf("vms=%d", size.all), func(b *testing.B) {
			before := heap()
			l := startLoopback(b, size.voters, size.all)
			defer l.stop()
			l.waitFresh()
			for b.Loop() {
				cpu, began := cpuTime(), time.Now()
				<-time.After(10 * time.Second)
				used := float64(cpuTime()-cpu) / float64(time.Since(began))
				b.ReportMetric(100*used/float64(size.all), "cpu-%/vm")
				b.ReportMetric(100*used, "cpu-%")
			}
			b.ReportMetric(float64(heap()-before)/float64(size.all)/1024, "heap-KB/vm")
		})
	}
}

func heap() int64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc + m.StackInuse)
}

func cpuTime() time.Duration {
	var u syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// BenchmarkGroupCommit measures commits of three voters over loopback with real disks, for
// several numbers of concurrent proposers.
func BenchmarkGroupCommit(b *testing.B) {
	for _, proposers := range []int{1, 16, 256} {
		b.Run(fmt.Sprintf("proposers=%d", proposers), func(b *testing.B) {
			l := startLoopback(b, 3, 3)
			defer l.stop()
			l.waitFresh()
			b.SetParallelism(max(1, proposers/runtime.GOMAXPROCS(0)))
			if proposers == 1 {
				for b.Loop() {
					l.propose()
				}
				return
			}
			b.RunParallel(func(pb *testing.PB) {
				for pb.Next() {
					l.propose()
				}
			})
		})
	}
}

func (l *loopback) propose() {
	if _, err := Propose[int](context.Background(), l.vms[0].client, PlansStateMachine, "x"); err != nil {
		l.b.Error(err)
	}
}
