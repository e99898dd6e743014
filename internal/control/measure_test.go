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

// loopback is a deployment in one process over real sockets and real disks.
type loopback struct {
	b        *testing.B
	vms      []*vm
	networks []*peer.Network
	servers  []*http.Server

	mu   sync.Mutex
	seen map[string]int // item to VMs that applied it
	at   map[string]time.Time
}

func startLoopback(b *testing.B, voters, all int) *loopback {
	l := &loopback{b: b, seen: map[string]int{}, at: map[string]time.Time{}}
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
	v := &vm{id: id, machine: NewReplicatedState(), failed: make(chan error, 1)}
	v.machine.Register(PlansStateMachine, &list{})
	v.feed = NewFeed(FeedOptions{Self: id, Voters: FixedVMs(voters), Transport: n, Lease: testLease, Log: zerolog.Nop()})
	v.feed.OnChange(PlansStateMachine, l.apply)
	if slices.Contains(voters, id) {
		v.group = NewGroup(GroupOptions{
			VM: id, Voters: voters, Dir: l.b.TempDir(), Transport: n, State: v.machine,
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
		l.seen[item]++
		if l.seen[item] == len(l.vms) {
			l.at[item] = time.Now()
		}
	}
}

func (l *loopback) last(item string) (time.Time, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	at, ok := l.at[item]
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

func (l *loopback) settle() {
	for range 1000 {
		if l.fresh() == len(l.vms) {
			return
		}
		<-time.After(10 * time.Millisecond)
	}
	l.b.Fatalf("%d of %d VMs are fresh", l.fresh(), len(l.vms))
}

func (l *loopback) fresh() int {
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

// BenchmarkInForce measures, for an operator's change: commit, from the request
// to its answer; last, from the answer to the last VM that applies it; waited,
// from the answer to the report that it is in force everywhere.
func BenchmarkInForce(b *testing.B) {
	for _, size := range sizes {
		b.Run(fmt.Sprintf("vms=%d", size.all), func(b *testing.B) {
			l := startLoopback(b, size.voters, size.all)
			defer l.stop()
			l.settle()
			<-time.After(outlived(testLease))
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
				at, ok := l.last(item)
				if !ok {
					b.Fatal("in force, but not on every VM")
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

// BenchmarkIdle measures what the control traffic of a deployment costs while
// nothing changes: processor share and memory of a VM on average. Run it with
// -benchtime 1x: an iteration takes ten seconds.
func BenchmarkIdle(b *testing.B) {
	for _, size := range sizes {
		b.Run(fmt.Sprintf("vms=%d", size.all), func(b *testing.B) {
			before := heap()
			l := startLoopback(b, size.voters, size.all)
			defer l.stop()
			l.settle()
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

// BenchmarkGroupCommit measures commits of three voters over loopback with real
// disks, by so many proposers at once.
func BenchmarkGroupCommit(b *testing.B) {
	for _, proposers := range []int{1, 16, 256} {
		b.Run(fmt.Sprintf("proposers=%d", proposers), func(b *testing.B) {
			l := startLoopback(b, 3, 3)
			defer l.stop()
			l.settle()
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
