package scheduler

import (
	"flag"
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"os"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/amaranthshelf/amaranthshelf/internal/placement"
	"github.com/amaranthshelf/amaranthshelf/internal/testseed"
)

var updateGolden = flag.Bool("scheduler.update", false, "record the decisions of the replays anew")

// replay drives a Scheduler through its exported methods only, with a load in which VMs and
// engines fail. Equal decisions lead to equal loads, so two versions of the scheduler either
// agree up to the last decision or part at the first difference.
type replay struct {
	replayLoad
	rng     *rand.Rand
	s       *Scheduler
	now     time.Time
	engines []Server
	freeAt  map[string]time.Time // when an engine has prefilled its prompts
	failed  map[string]bool
	vms     []*replayVM
	streams map[string]*replayRun
	runs    []*replayRun // granted, in order of the grants
	out     strings.Builder
	counts  map[Outcome]int
	copies  int
	inTime  int // first events by the due time
	log     strings.Builder
}

type replayLoad struct {
	name                  string
	seed                  uint64
	perZone, slots, vms   int
	perSecond, perSecond2 float64 // arrivals in the first and second half
	prompt                int     // usual prompt tokens
	span                  time.Duration
	oneVersion            bool // all engines are of version v2
}

type replayVM struct {
	name      string
	lastGrant uint64
	reportAt  time.Time // zero: nothing to report
	downUntil time.Time
	forgotten bool
}

type replayRun struct {
	Stream
	vm             *replayVM
	engine, backup string
	prefilled, end time.Time
	first          bool
}

var replayLoads = []replayLoad{
	{"few", 1, 8, 64, 10, 6, 24, 8000, 16 * time.Second, false},
	{"few short prompts", 2, 8, 64, 10, 60, 300, 400, 8 * time.Second, false},
	{"ranked", 3, 60, 16, 84, 42, 168, 8000, 16 * time.Second, false},
	{"many idle", 4, 200, 16, 84, 60, 90, 8000, 6 * time.Second, false},
}

// version returns the version of the engine with a number: of each four, one has v2.
func (l *replayLoad) version(engine int) string {
	if l.oneVersion {
		return "v2"
	}
	return fmt.Sprint("v", engine%4/3+1)
}

const replayTick = 2 * time.Millisecond

func newReplay(l replayLoad) *replay {
	r := &replay{
		replayLoad: l, rng: rand.New(rand.NewPCG(l.seed, 2)), now: time.Unix(1000, 0), freeAt: map[string]time.Time{},
		failed: map[string]bool{}, streams: map[string]*replayRun{}, counts: map[Outcome]int{},
	}
	r.s = New(rand.New(rand.NewPCG(l.seed, 3)).IntN)
	for i := range l.perZone {
		for _, zone := range []string{"a", "b", "c"} {
			r.engines = append(r.engines, Server{ID: fmt.Sprint(zone, i), Service: "models", Zone: zone, Slots: l.slots, Version: l.version(i)})
		}
	}
	for i := range l.vms {
		r.vms = append(r.vms, &replayVM{name: fmt.Sprint("vm", i)})
	}
	r.list()
	return r
}

func (r *replay) list() {
	r.s.SetServers(slices.DeleteFunc(slices.Clone(r.engines), func(e Server) bool { return r.failed[e.ID] }))
}

func (r *replay) run() string {
	start := r.now
	for n := 1; r.now.Sub(start) < r.span; n++ {
		r.now = r.now.Add(replayTick)
		rate := r.perSecond
		if r.now.Sub(start) > r.span/4 {
			rate = r.perSecond2
		}
		for due := rate * replayTick.Seconds(); r.rng.Float64() < due; due-- {
			r.arrive()
		}
		r.fail(r.now.Sub(start))
		r.progress()
		r.report()
		if n%12 == 0 {
			r.decide()
		}
		if n%50 == 0 {
			fmt.Fprintln(&r.log, r.s.ShortOfMemory(r.now), r.s.States(r.now))
		}
		if n%500 == 0 {
			r.renew()
			h := fnv.New64a()
			_, _ = h.Write([]byte(r.log.String()))
			fmt.Fprintf(&r.out, "%s %ds: granted %d, refused %d, no server %d, too large %d, copies %d, in time %d, log %x\n",
				r.name, n/500, r.counts[Granted], r.counts[Refused], r.counts[NoServer], r.counts[TooLarge], r.copies, r.inTime, h.Sum64())
		}
	}
	return r.out.String()
}

func (r *replay) chance(percent int) bool { return r.rng.IntN(100) < percent }

func (r *replay) anyEngine() string { return r.engines[r.rng.IntN(len(r.engines))].ID }

func (r *replay) arrive() {
	vm := r.vms[r.rng.IntN(len(r.vms))]
	class, size := r.rng.IntN(3), 0.5+r.rng.Float64()
	if r.chance(2) {
		size = 7 + 5*r.rng.Float64()
	}
	st := Stream{
		ID: fmt.Sprint("s", len(r.streams)), VM: vm.name, Service: "models", Workspace: fmt.Sprint("w", r.rng.IntN(1+r.rng.IntN(24))), KVTokens: 88_000,
		Need: placement.Need{Prompt: int(size * float64(r.prompt)), Output: 600}, Priority: class, Zone: string(rune('a' + r.rng.IntN(3))), WantsCopy: r.chance(70),
		Due: r.now.Add([]time.Duration{4, 5, 10}[class] * time.Second), Deadline: r.now.Add(25 * time.Second),
	}
	if r.now.Unix()%8 == 6 && r.chance(80) {
		st.Workspace = "w20" // surges
	}
	if r.chance(10) {
		st.Deadline, st.CachedEngine = r.now.Add(time.Duration(r.rng.IntN(8000))*time.Millisecond), r.anyEngine()
	}
	if r.chance(10) {
		st.Version, st.VersionShare = "v2", float64(r.rng.IntN(3))*0.3
	}
	if r.chance(1) {
		st.Version = "unknown"
	}
	if r.chance(5) {
		st.ExcludedEngines = []string{r.anyEngine(), r.anyEngine()}
	}
	r.enqueue(&replayRun{Stream: st, vm: vm})
}

// enqueue reports with each request, as routers do.
func (r *replay) enqueue(n *replayRun) {
	r.streams[n.ID] = n
	if r.down(n.vm) {
		return
	}
	r.send(n.vm)
	r.s.Enqueue(n.Stream, r.now)
	r.decide()
}

func (r *replay) down(vm *replayVM) bool { return r.now.Before(vm.downUntil) }

// fail takes down single VMs, and all engines of a zone for a quarter of the span. They leave
// the list after a second.
func (r *replay) fail(at time.Duration) {
	if r.rng.IntN(1500) == 0 {
		r.vms[r.rng.IntN(len(r.vms))].downUntil = r.now.Add(2 * time.Second)
	}
	for _, vm := range r.vms {
		if forget := vm.downUntil.Sub(r.now) > 0 && vm.downUntil.Sub(r.now) < 900*time.Millisecond; forget != vm.forgotten {
			if vm.forgotten = forget; forget {
				r.s.Forget(vm.name)
			}
		}
	}
	switch at {
	case r.span / 2:
		for _, e := range r.engines {
			r.failed[e.ID] = e.Zone == "b"
		}
		r.resume()
	case r.span/2 + time.Second:
		r.list()
	case r.span * 3 / 4:
		clear(r.failed)
		r.list()
	}
}

// resume enqueues the runs of failed engines as interrupted streams.
func (r *replay) resume() {
	lost := slices.DeleteFunc(slices.Clone(r.runs), func(n *replayRun) bool { return !r.failed[n.engine] })
	r.runs = slices.DeleteFunc(r.runs, func(n *replayRun) bool { return r.failed[n.engine] })
	for _, n := range lost {
		n.Interrupted, n.EventsReceived, n.CachedEngine = n.first, r.rng.IntN(200), n.backup
		n.ExcludedEngines = append(n.ExcludedEngines, n.engine)
		n.engine, n.backup, n.first = "", "", false
		r.enqueue(n)
	}
}

// progress ends prefills and runs. The VM reports a moment later.
func (r *replay) progress() {
	r.runs = slices.DeleteFunc(r.runs, func(n *replayRun) bool {
		if !n.first && !r.now.Before(n.prefilled) {
			n.first = true
			if !r.now.After(n.Due) {
				r.inTime++
			}
			r.touch(n.vm)
		}
		ended := n.first && !r.now.Before(n.end)
		if ended {
			r.touch(n.vm)
		}
		return ended
	})
}

func (r *replay) touch(vm *replayVM) {
	if vm.reportAt.IsZero() {
		vm.reportAt = r.now.Add(time.Duration(r.rng.IntN(15)) * time.Millisecond)
	}
}

// report sends the reports that are due, and some of VMs without a change.
func (r *replay) report() {
	if r.chance(10) {
		r.touch(r.vms[r.rng.IntN(len(r.vms))])
	}
	for _, vm := range r.vms {
		if !vm.reportAt.IsZero() && !r.now.Before(vm.reportAt) && !r.down(vm) {
			r.send(vm)
			r.decide()
		}
	}
}

func (r *replay) send(vm *replayVM) {
	vm.reportAt = time.Time{}
	o := Report{
		Usage: map[string]placement.Usage{}, LastGrant: vm.lastGrant,
		EngineTimings: map[string]EngineTiming{"models": {PrefillPerToken: time.Duration(120+r.rng.IntN(20)) * time.Microsecond, RunDuration: time.Duration(5500+r.rng.IntN(1000)) * time.Millisecond, EventsPerRun: 200}},
	}
	for _, n := range r.runs {
		if n.vm != vm {
			continue
		}
		u := placement.Usage{Requests: 1, Tokens: n.Need.Tokens()}
		if !n.first {
			u.PendingPrompt = n.Need.Prompt
		}
		o.Usage[n.engine] = o.Usage[n.engine].Add(u)
		if n.backup != "" {
			o.Usage[n.backup] = o.Usage[n.backup].Add(placement.CopyUsage(n.Need))
		}
	}
	for _, e := range r.engines {
		switch {
		case r.failed[e.ID] && r.chance(50):
			o.Avoid = append(o.Avoid, e.ID)
		case r.failed["b0"] && e.Zone <= "b" && r.chance(30):
			o.Suspected = append(o.Suspected, e.ID)
		case r.failed["b0"] && !r.failed[e.ID] && r.chance(5):
			o.Alive = append(o.Alive, e.ID)
		case r.rng.IntN(400) == 0:
			o.Withheld = append(o.Withheld, e.ID)
		}
	}
	r.s.ReceiveReport(vm.name, o, r.now)
}

func (r *replay) renew() {
	ids := []string{}
	for id, n := range r.streams {
		if n.engine == "" && !r.down(n.vm) {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	for _, id := range ids {
		r.s.Enqueue(r.streams[id].Stream, r.now)
	}
}

func (r *replay) decide() {
	for _, d := range r.s.Decide(r.now) {
		a := &d.Answer
		fmt.Fprintln(&r.log, r.now.UnixMilli(), d.Stream.ID, fmt.Sprintf("{%d %d %s %s %s}", a.Outcome, a.Number, a.Server, a.BackupEngine, a.RetryAfter))
		r.counts[d.Outcome]++
		if n := r.streams[d.Stream.ID]; d.Outcome != Granted {
			delete(r.streams, d.Stream.ID)
		} else if !r.down(n.vm) && !r.chance(3) { // otherwise the answer is lost
			r.begin(n, &d)
		}
	}
}

func (r *replay) begin(n *replayRun, d *Decision) {
	n.engine, n.backup = d.Server, d.BackupEngine
	if d.BackupEngine != "" {
		r.copies++
	}
	speed := 125 * time.Microsecond
	if strings.HasSuffix(d.Server, "3") && r.now.Unix()%4 < 2 {
		speed *= 3
	}
	from := r.freeAt[d.Server]
	if from.Before(r.now) {
		from = r.now
	}
	n.prefilled = from.Add(time.Duration(n.Need.Prompt) * speed)
	n.end = n.prefilled.Add(time.Duration(3000+r.rng.IntN(5000)) * time.Millisecond)
	r.freeAt[d.Server] = n.prefilled
	r.runs = append(r.runs, n)
	n.vm.lastGrant = max(n.vm.lastGrant, d.Number)
	r.touch(n.vm)
}

// A change of how decisions are computed must not change the decisions. The golden files hold
// those of the code that scanned all grants, streams and engines at each report, for engines of
// one version, and those since copies are kept within a version, for engines of two.
func TestDecisionsAreAsRecorded(t *testing.T) {
	for golden, oneVersion := range map[string]bool{"testdata/decisions.golden": false, "testdata/decisions-one-version.golden": true} {
		t.Run(golden, func(t *testing.T) { requireRecordedDecisions(t, golden, oneVersion) })
	}
}

func requireRecordedDecisions(t *testing.T, golden string, oneVersion bool) {
	var got strings.Builder
	for _, l := range replayLoads {
		l.oneVersion = oneVersion
		r := newReplay(l)
		r.s.examineAll = true
		got.WriteString(r.run())
	}
	if *updateGolden {
		if err := os.WriteFile(golden, []byte(got.String()), 0o644); err != nil {
			t.Fatal(err)
		}
		return
	}
	recorded, err := os.ReadFile(golden)
	if err != nil {
		t.Fatal(err)
	}
	want := strings.Split(string(recorded), "\n")
	for i, line := range strings.Split(got.String(), "\n") {
		if i >= len(want) || line != want[i] {
			t.Fatalf("first difference at line %d:\ngot  %s\nwant %s", i+1, line, want[min(i, len(want)-1)])
		}
	}
}

// Between two passes over all waiting streams, reports are followed by decisions about new
// streams and changed engines only. Streams must not be served later or refused more often
// for it than if all of them were examined at each report.
func TestPartialPassesServeAsWell(t *testing.T) {
	type outcome struct{ granted, refused, inTime int }
	seeds := []uint64{101, 102, 103, testseed.Drawn()}
	t.Log("seeds", seeds)
	var all, changed outcome
	for _, l := range replayLoads[:3] {
		for _, l.seed = range seeds {
			for _, o := range []*outcome{&all, &changed} {
				r := newReplay(l)
				r.s.examineAll = o == &all
				r.run()
				o.granted, o.refused, o.inTime = o.granted+r.counts[Granted], o.refused+r.counts[Refused], o.inTime+r.inTime
			}
		}
	}
	if changed.granted < all.granted*95/100 || changed.inTime < all.inTime*95/100 || changed.refused > all.refused*125/100 {
		t.Errorf("got %+v, want about %+v", changed, all)
	}
}
