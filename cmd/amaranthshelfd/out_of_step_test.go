package main

import (
	"bufio"
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/amaranthshelf/amaranthshelf/internal/routed"
	"github.com/amaranthshelf/amaranthshelf/internal/routedlocal"
	"github.com/amaranthshelf/amaranthshelf/internal/timer"
)

const (
	// outOfStepRouter is the process that is out of step.
	outOfStepRouter = soakControls + soakRouters - 1
	// outOfStepCallers is how many streams run at the other routers at a time.
	outOfStepCallers = 16
	// takenUpEach is how many streams each caller takes up, for takenUpEvents events.
	takenUpEach, takenUpEvents = 3, 3
	// slowLink is the delay of messages to control processes that have just started.
	slowLink = 30 * time.Millisecond
	// leastBegun is how many streams the new version begins before they break.
	leastBegun = 4
	// newVersionTimeout bounds the time until the new version is used.
	newVersionTimeout = 20 * time.Second
	// takeUpTime is how long the callers try to take their streams up.
	takeUpTime = 8 * time.Second
)

// outOfStep is a release during which a router is out of step.
type outOfStep struct {
	// stopped is set if the router stands still. Otherwise it is cut off from the control VMs.
	stopped bool
	// listedFirst is set if the new engines are listed before the router is out of step.
	listedFirst bool
	// restarted is set if all control processes start again with the list of the new engines.
	// Otherwise they do so one after the other.
	restarted bool
	// settled bounds for how long the new version is used before the streams break.
	settled time.Duration
	// brokenAfter is when the streams break, from the end of the disturbance on.
	brokenAfter time.Duration
}

func outOfStepCases() (out []outOfStep) {
	for _, stopped := range []bool{true, false} {
		out = append(out, outOfStep{stopped: stopped, restarted: true, settled: 50 * time.Millisecond, brokenAfter: -time.Second})
		for _, listedFirst := range []bool{true, false} {
			for _, after := range []time.Duration{-600 * time.Millisecond, -20 * time.Millisecond, 150 * time.Millisecond} {
				out = append(out, outOfStep{stopped: stopped, listedFirst: listedFirst, settled: 2 * time.Second, brokenAfter: after})
			}
		}
	}
	return out
}

func (c outOfStep) name() string {
	disturbance, order := "cut off", "before the release"
	if c.stopped {
		disturbance = "stopped"
	}
	if c.listedFirst {
		order = "after the release"
	}
	if c.restarted {
		order = "before a release with a restart"
	}
	return fmt.Sprintf("%s %s, streams break %v after it", disturbance, order, c.brokenAfter)
}

// Guards against a stream that a version began and that goes on at another one, at a router that was
// out of step while the engines of that version joined.
func TestStreamsAreNotJoinedAtARouterOutOfStep(t *testing.T) {
	if testing.Short() {
		t.Skip("starts processes")
	}
	seed := scenarioSeed()
	var total outOfStepCounts
	t.Cleanup(func() {
		t.Logf("of %d streams that the new version began, %d were taken up, %d went on, %d tries were refused",
			total.began.Load(), total.takenUp.Load(), total.wentOn.Load(), total.refused.Load())
		if total.wentOn.Load() == 0 {
			t.Error("no stream of the new version was taken up and went on")
		}
	})
	turns := make(chan struct{}, 2) // a run has 12 processes
	cases := outOfStepCases()
	drawn := rand.New(rand.NewPCG(seed, 599)).Perm(len(cases))[:2]
	for i, c := range cases {
		if *soakSeed == 0 && !c.restarted && !slices.Contains(drawn, i) {
			continue // a run without a seed of its own plays those with a restart, and two drawn ones
		}
		t.Run(c.name(), func(t *testing.T) {
			t.Parallel()
			turns <- struct{}{}
			defer func() { <-turns }()
			playOutOfStep(t, c, rand.New(rand.NewPCG(seed, uint64(600+i))), &total)
		})
	}
}

// outOfStepCounts counts the streams that the new version began.
type outOfStepCounts struct{ began, takenUp, wentOn, refused atomic.Int64 }

func playOutOfStep(t *testing.T, c outOfStep, rng *rand.Rand, total *outOfStepCounts) {
	s := &soakSystem{t: t, mixed: true, listed: []string{"none"}}
	r := &outOfStepRun{w: s.startListing([]string{"v1"}), s: s, counts: total, broken: make(chan struct{})}
	for caller := range outOfStepCallers {
		choices := rand.New(rand.NewPCG(rng.Uint64(), uint64(caller)))
		r.wg.Go(func() { r.callOthers(caller, choices) })
	}
	both := []string{"v1", "v1.1"}
	if c.listedFirst {
		s.relist(both)
		_ = timer.Sleep(t.Context(), randomDuration(rng, 400*time.Millisecond))
	}
	r.disturb(c.stopped)
	disturbed := time.Now()
	if !c.listedFirst {
		_ = timer.Sleep(t.Context(), randomDuration(rng, c.settled/5))
		r.release(both, c.restarted)
	}
	used := r.awaitNewVersion().Sub(disturbed)
	if c.restarted && used < routed.Lease {
		t.Errorf("the new version was used %v after the router fell out of step, want %v: it may know the other one only until then", used, routed.Lease)
	}
	_ = timer.Sleep(t.Context(), randomDuration(rng, c.settled))
	ended := time.AfterFunc(max(0, -c.brokenAfter), func() { r.calm(c.stopped) })
	defer ended.Stop()
	_ = timer.Sleep(t.Context(), max(0, c.brokenAfter))
	r.breakStreams()
	broken := time.Since(disturbed)
	r.wg.Wait()
	t.Logf("broken after %v, used after %v: %d streams of the new version, %d taken up, %d went on; refusals %v", broken, used, r.began.Load(), r.takenUp.Load(), r.wentOn.Load(), r.refusals)
	total.began.Add(r.began.Load())
	total.takenUp.Add(r.takenUp.Load())
	total.wentOn.Add(r.wentOn.Load())
}

// outOfStepRun are the callers of a run.
type outOfStepRun struct {
	w      *soakClients
	s      *soakSystem
	wg     sync.WaitGroup
	broken chan struct{} // closed when the other routers are killed
	counts *outOfStepCounts

	began, takenUp, wentOn atomic.Int64
	begunAtNew             atomic.Int64

	mu       sync.Mutex
	refusals map[string]int
}

// disturb takes the router out of step, and calm ends it.
func (r *outOfStepRun) disturb(stopped bool) {
	if stopped {
		r.s.signal(outOfStepRouter, syscall.SIGSTOP)
		return
	}
	pid := r.s.processes[outOfStepRouter].cmd.Process.Pid
	for _, link := range r.s.links {
		link.cutOff(pid)
	}
}

// startListing starts the system and lists engines of some versions after the first route list. The
// control group's log then ends with their versions, and a control process that starts again has not
// applied its last entry.
func (s *soakSystem) startListing(versions []string) *soakClients {
	s.startAll()
	w := newSoakClients(s.t, s)
	w.putRouteList(s.t.Context(), 1)
	s.relist(versions)
	w.waitAllServe(1)
	return w
}

// release lists further versions. With restarted, all control processes start again at once, and
// messages between them take long.
func (r *outOfStepRun) release(versions []string, restarted bool) {
	if !restarted {
		r.s.relist(versions)
		return
	}
	r.setLinkDelay(slowLink)
	r.s.killAndRestart(processRange(0, soakControls), time.Millisecond, func() { r.s.writeLists(versions) })
}

func (r *outOfStepRun) setLinkDelay(d time.Duration) {
	for _, link := range r.s.links {
		link.setFault(d, false, false)
	}
}

func (r *outOfStepRun) calm(stopped bool) {
	if stopped {
		r.s.signal(outOfStepRouter, syscall.SIGCONT)
		return
	}
	for _, link := range r.s.links {
		link.cutOff(0)
	}
}

// breakStreams kills the other routers.
func (r *outOfStepRun) breakStreams() {
	for i := soakControls; i < outOfStepRouter; i++ {
		r.s.signal(i, syscall.SIGKILL)
	}
	close(r.broken)
}

// awaitNewVersion waits until the new version has begun some streams. That is after the lease of the
// router that is out of step has ended, or at once if it knows the version. It returns when engines
// of the version first ran a stream.
func (r *outOfStepRun) awaitNewVersion() (used time.Time) {
	for end := time.Now().Add(newVersionTimeout); r.begunAtNew.Load() < leastBegun; {
		if time.Now().After(end) {
			r.w.t.Errorf("%d streams began at the new version within %v, want %d", r.begunAtNew.Load(), newVersionTimeout, leastBegun)
			return time.Now()
		}
		if used.IsZero() && r.s.versionsRun()["v1.1"] {
			used = time.Now()
			r.setLinkDelay(0)
		}
		_ = timer.Sleep(r.w.t.Context(), 10*time.Millisecond)
	}
	if used.IsZero() {
		used = time.Now()
	}
	return used
}

// brokenStream is a stream of which its caller got the first events.
type brokenStream struct {
	q   routedlocal.StreamRequest
	got routedlocal.StreamResult
}

// callOthers requests streams at the other routers until these are killed, and leaves each after some
// events. It then takes the last ones up at the router that was out of step.
func (r *outOfStepRun) callOthers(caller int, rng *rand.Rand) {
	var begun []brokenStream
	for n := 0; !isClosedChannel(r.broken); n++ {
		q := routedlocal.StreamRequest{
			Addr: r.s.callers[rng.IntN(soakRouters-1)], Path: fmt.Sprintf("/s/%d-%d", caller, n), ID: fmt.Sprintf("%d-%d", caller, n),
			Key: soakWorkspaces[caller%len(soakWorkspaces)].key(), LeaveAfter: 1 + rng.IntN(4),
		}
		got, _ := q.Do(r.w.t.Context())
		if q.LeaveAfter = 0; len(got.EventIDs) > 0 {
			begun = append(begun, brokenStream{q, got})
			if got.Versions[0] != "v1" {
				r.begunAtNew.Add(1)
			}
		}
	}
	for _, b := range begun[max(0, len(begun)-takenUpEach):] {
		r.wg.Go(func() { r.takeUp(&b.q, &b.got) })
	}
}

func isClosedChannel(c <-chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}

// takeUp asks for the rest of a stream until it is complete or cannot go on.
func (r *outOfStepRun) takeUp(q *routedlocal.StreamRequest, got *routedlocal.StreamResult) {
	first, version, ids, versions := q.ID, got.Versions[0], got.EventIDs, got.Versions
	isNew := version != "v1"
	if isNew {
		r.began.Add(1)
		r.takenUp.Add(1)
	}
	r.checkVersions(q, versions)
	ctx, cancel := context.WithTimeout(r.w.t.Context(), takeUpTime)
	defer cancel()
	for try := 1; ctx.Err() == nil && len(ids) < soakEvents; try++ {
		next := *q
		next.LeaveAfter = min(soakEvents, len(ids)+takenUpEvents)
		next.Addr, next.ID, next.After, next.FirstAttempt = r.s.callers[soakRouters-1], fmt.Sprint(first, "-", try), len(ids), first
		rest, _ := next.Do(ctx)
		ids = append(ids, rest.EventIDs...)
		for _, v := range rest.Versions {
			if !slices.Contains(versions, v) {
				versions = append(versions, v)
			}
		}
		r.checkVersions(&next, versions)
		if len(rest.EventIDs) > 0 {
			if isNew {
				r.wentOn.Add(1)
			}
			return
		}
		if rest.Status > 0 && version != "v1" {
			r.counts.refused.Add(1)
			r.noteRefusal(fmt.Sprint(int(rest.Refusal.Code), " after ", rest.Refusal.RetryAfter))
		}
		if cannotGoOn(&rest) {
			return
		}
		_ = timer.Sleep(ctx, retryPause+rest.Refusal.RetryAfter)
	}
}

func (r *outOfStepRun) noteRefusal(what string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.refusals == nil {
		r.refusals = map[string]int{}
	}
	r.refusals[what]++
}

func (r *outOfStepRun) checkVersions(q *routedlocal.StreamRequest, versions []string) {
	if len(versions) > 1 {
		r.w.t.Errorf("stream %s, attempt %s that names %q: events of versions %v", q.Path, q.ID, q.FirstAttempt, versions)
	}
}

// cutOff blocks the connections of a process; 0: none.
func (p *faultProxy) cutOff(pid int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cutPID = pid
	close(p.changed)
	p.changed = make(chan struct{})
}

// isCut returns a function that reports whether a client's connection belongs to a process that is
// cut off; 0: none is. The answer for a process does not change.
func (*faultProxy) isCut(client net.Conn) func(pid int) bool {
	var mu sync.Mutex
	asked, owns := 0, false
	return func(pid int) bool {
		mu.Lock()
		defer mu.Unlock()
		if pid != 0 && pid != asked {
			asked, owns = pid, ownsConnection(pid, client)
		}
		return pid != 0 && owns
	}
}

// ownsConnection reports whether the client's end of a connection on loopback belongs to a process.
func ownsConnection(pid int, c net.Conn) bool {
	inode, ok := socketInode(c.RemoteAddr().(*net.TCPAddr).Port, c.LocalAddr().(*net.TCPAddr).Port)
	if !ok {
		return false
	}
	folder := filepath.Join("/proc", strconv.Itoa(pid), "fd")
	entries, _ := os.ReadDir(folder)
	return slices.ContainsFunc(entries, func(e os.DirEntry) bool {
		link, _ := os.Readlink(filepath.Join(folder, e.Name()))
		return link == "socket:["+inode+"]"
	})
}

// socketInode finds the socket with a local and a remote port.
func socketInode(local, remote int) (string, bool) {
	f, err := os.Open("/proc/net/tcp")
	if err != nil {
		return "", false
	}
	defer f.Close()
	ends := [2]string{fmt.Sprintf(":%04X", local), fmt.Sprintf(":%04X", remote)}
	for lines := bufio.NewScanner(f); lines.Scan(); {
		fields := strings.Fields(lines.Text())
		if len(fields) > 9 && strings.HasSuffix(fields[1], ends[0]) && strings.HasSuffix(fields[2], ends[1]) {
			return fields[9], true
		}
	}
	return "", false
}
