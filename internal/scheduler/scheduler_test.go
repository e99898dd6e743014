package scheduler

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/amaranthshelf/amaranthshelf/internal/placement"
)

var (
	longPrompt = placement.Need{Prompt: 8000, Output: 600}
	usualLoad  = load{6, 4 * time.Second}
	// overload is nearly four times the usual load, for longer than a run takes.
	overload = load{22, 25 * time.Second}
)

const (
	objective = 4500 * time.Millisecond
	deadline  = 25 * time.Second
)

// The callers of nearly four times the usual load see their first event late where each
// VM places at once: prompts queue in the engines, in-time behind late ones. In order:
// the load rises for 25 seconds; engines read as fast as they can; what cannot be in
// time any more waits behind what can. So as many are in time as the engines can begin.
func TestOverloadIsServedInTime(t *testing.T) {
	seeds := uint64(3)
	if testing.Short() {
		seeds = 1
	}
	for seed := range seeds {
		atOnce := newSim(seed, 8, 10, usualTraits)
		atOnce.play(longPrompt, objective, deadline, usualLoad, overload, usualLoad)
		waiting := newSim(seed, 8, 10, usualTraits).schedule()
		waiting.play(longPrompt, objective, deadline, usualLoad, overload, usualLoad)
		if a, w := atOnce.inTime(), waiting.inTime(); w < 0.75 || w < a+0.3 {
			t.Errorf("seed %d: %.2f in time placed at once, %.2f scheduled", seed, a, w)
		}
	}
}

// The load of a large deployment: 70 VMs that know one another's runs by news that is
// half a second old send a burst to 120 engines within one round of it. At once, they
// meet on the engines that were free; scheduled, no engine reads two prompts while
// another reads none.
func TestBurstWithinOneRoundOfNews(t *testing.T) {
	burst := load{250, 300 * time.Millisecond}
	quiet := load{30, 3 * time.Second}
	atOnce := newSim(1, 40, 70, usualTraits)
	atOnce.play(longPrompt, 2*time.Second, deadline, quiet, burst)
	scheduled := newSim(1, 40, 70, usualTraits).schedule()
	scheduled.play(longPrompt, 2*time.Second, deadline, quiet, burst)
	if a, w := atOnce.inTime(), scheduled.inTime(); w < 0.9 || w < a+0.05 {
		t.Errorf("%.2f in time placed at once, %.2f scheduled", a, w)
	}
}

// Callers under overload pay for copies of others' runs with their own time.
// In order: every run has a copy while memory is free; the load rises; no more copies
// are made, and prompts get the memory. Almost as many are in time as without copies.
func TestCopiesTakeWhatPromptsLeave(t *testing.T) {
	calm := newSim(1, 8, 10, usualTraits).schedule()
	calm.wantsCopy = true
	calm.play(longPrompt, objective, deadline, load{6, 15 * time.Second})
	if calm.copied < len(calm.runs) {
		t.Errorf("%d of %d runs had a copy at the usual load", calm.copied, len(calm.runs))
	}
	full := newSim(1, 8, 10, usualTraits).schedule()
	full.wantsCopy = true
	full.play(longPrompt, objective, deadline, usualLoad, overload, usualLoad)
	without := newSim(1, 8, 10, usualTraits).schedule()
	without.play(longPrompt, objective, deadline, usualLoad, overload, usualLoad)
	if c, w := full.inTime(), without.inTime(); c < w-0.1 {
		t.Errorf("%.2f in time with copies, %.2f without", c, w)
	}
}

// What describes an engine is observed: engines four times as fast or slow, with a fifth
// and five times the memory, serve a load that fills them equally well.
func TestEnginesOfAnyPaceAndSize(t *testing.T) {
	tests := []struct {
		name     string
		pace     float64
		memory   float64
		expected float64
	}{
		{"usual", 1, 1, 0.8},
		{"four times as fast", 4, 1, 0.8},
		{"four times slower", 0.25, 1, 0.8},
		{"a fifth of the memory", 1, 0.2, 0.8},
		{"five times the memory", 1, 5, 0.8},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			traits := simTraits{
				perMS: usualTraits.perMS * tt.pace, step: time.Duration(float64(usualTraits.step) / tt.pace),
				kv: int(float64(usualTraits.kv) * tt.memory),
			}
			need := placement.Need{Prompt: int(8000 * min(1, tt.memory)), Output: int(600 * min(1, tt.memory))}
			scale := tt.pace / min(1, tt.memory)
			span := func(l load, s float64) load { return load{l.perSecond * scale * s, l.span} }
			s := newSim(1, 8, 10, traits).schedule()
			s.play(need, time.Duration(float64(objective)/tt.pace), deadline, span(usualLoad, 1), span(overload, 0.6), span(usualLoad, 1))
			if got := s.inTime(); got < tt.expected {
				t.Errorf("%.2f in time", got)
			}
		})
	}
}

// book is a Scheduler with engines in three zones.
func book(perZone int) *Scheduler {
	s := New(func(int) int { return 0 })
	var servers []Server
	for _, zone := range []string{"a", "b", "c"} {
		for i := range perZone {
			servers = append(servers, Server{ID: fmt.Sprint(zone, i), Service: "models", Zone: zone, Slots: 64})
		}
	}
	s.SetServers(servers)
	return s
}

func stream(id string, now time.Time) Stream {
	return Stream{
		ID: id, VM: "vm", Service: "models", Need: longPrompt, KVTokens: 88_000,
		Due: now.Add(objective), Deadline: now.Add(deadline), WantsCopy: true,
	}
}

// decisions by request id.
func decisions(ds []Decision) map[string]Decision {
	out := map[string]Decision{}
	for _, d := range ds {
		out[d.Stream.ID] = d
	}
	return out
}

func TestEngineReadsOnePromptAtATime(t *testing.T) {
	s, now := book(1), time.Unix(0, 0)
	for _, id := range []string{"1", "2", "3", "4"} {
		s.Enqueue(stream(id, now), now)
	}
	got := decisions(s.Decide(now))
	used := map[string]bool{}
	for _, d := range got {
		used[d.Server] = true
		if d.BackupEngine == "" || d.BackupEngine[0] == d.Server[0] {
			t.Errorf("copy of a run on %s at %q", d.Server, d.BackupEngine)
		}
	}
	if len(got) != 3 || len(used) != 3 || !s.HasWaiting() {
		t.Fatalf("decided %v", got)
	}
	s.ReceiveReport("vm", Report{LastGrant: 3, Usage: map[string]placement.Usage{
		"a0": {Requests: 1, Tokens: 8600, PendingPrompt: 8000}, "b0": {Requests: 1, Tokens: 8600}, "c0": {Requests: 1, Tokens: 8600, PendingPrompt: 8000},
	}}, now)
	if got := decisions(s.Decide(now)); got["4"].Server != "b0" {
		t.Errorf("once b0 has read its prompt: %v", got)
	}
}

func TestOrderOfWaiting(t *testing.T) {
	now := time.Unix(100, 0)
	at := func(id string, change func(*Stream)) Stream {
		st := stream(id, now)
		change(&st)
		return st
	}
	streams := []Stream{
		at("late", func(st *Stream) { st.Due = now.Add(-time.Second) }),
		at("due last", func(st *Stream) { st.Due = now.Add(4 * time.Second) }),
		at("due first", func(st *Stream) { st.Due = now.Add(3 * time.Second) }),
		at("urgent", func(st *Stream) { st.Due, st.Priority = now.Add(4*time.Second), -1 }),
		at("interrupted", func(st *Stream) { st.Due, st.Interrupted = now.Add(-time.Second), true }),
	}
	s := book(0)
	for _, st := range streams {
		s.Enqueue(st, now)
	}
	v := s.services["models"]
	order := func() (ids []string) {
		for _, w := range v.order(now) {
			ids = append(ids, w.ID)
		}
		return ids
	}
	want := []string{"interrupted", "urgent", "due first", "due last", "late"}
	if got := order(); !slices.Equal(got, want) {
		t.Errorf("order %v", got)
	}
	v.yields = true
	if got := order()[0]; got != "urgent" {
		t.Errorf("after an interrupted one: %v", got)
	}
}

// A prompt that needs most of an engine's memory waits for room. Smaller ones that are
// due later come all the time: were they let past, it would be late each time.
func TestLargePromptIsNotPassedForever(t *testing.T) {
	s, now := book(1), time.Unix(0, 0)
	half := placement.Usage{Requests: 4, Tokens: 50_000}
	s.ReceiveReport("other", Report{Usage: map[string]placement.Usage{"a0": {Requests: 3, Tokens: 40_000}, "b0": half, "c0": half}}, now)
	large := stream("large", now)
	large.Need = placement.Need{Prompt: 60_000, Output: 1000}
	s.Enqueue(large, now)
	for _, id := range []string{"1", "2", "3"} {
		st := stream(id, now)
		st.Due = st.Due.Add(time.Minute)
		st.Need.Prompt = 1000
		s.Enqueue(st, now)
	}
	large.Due = now.Add(30 * time.Second)
	for _, d := range s.Decide(now) {
		if d.Server == "a0" {
			t.Errorf("%s got the engine that is kept for the large prompt", d.Stream.ID)
		}
	}
}

func TestOutcomes(t *testing.T) {
	now := time.Unix(0, 0)
	tests := []struct {
		name    string
		servers int
		change  func(*Stream)
		use     placement.Usage
		want    Outcome
	}{
		{"free", 1, func(*Stream) {}, placement.Usage{}, Granted},
		{"none", 0, func(*Stream) {}, placement.Usage{}, NoServer},
		{"all skipped", 1, func(st *Stream) { st.ExcludedEngines = []string{"a0", "b0", "c0"} }, placement.Usage{}, NoServer},
		{"larger than any engine", 1, func(st *Stream) { st.Need.Prompt = 90_000 }, placement.Usage{}, TooLarge},
		{"memory is taken", 1, func(*Stream) {}, placement.Usage{Requests: 9, Tokens: 80_000}, Waiting},
		{"no slot", 1, func(*Stream) {}, placement.Usage{Requests: 64}, Waiting},
		{"late, and little memory", 1, func(st *Stream) { st.Due = now }, placement.Usage{Requests: 6, Tokens: 60_000}, Waiting},
		{"late, and larger than late ones may be", 1, func(st *Stream) { st.Due, st.Need.Prompt = now, 75_000 }, placement.Usage{Tokens: 8_000}, Granted},
		{"nearly the whole memory", 1, func(st *Stream) { st.Need.Prompt = 87_000 }, placement.Usage{}, Granted},
		{"late, and memory", 1, func(st *Stream) { st.Due = now }, placement.Usage{Requests: 4, Tokens: 40_000}, Granted},
		{"no time left to be served", 1, func(st *Stream) { st.Deadline = now.Add(100 * time.Millisecond) }, placement.Usage{Requests: 9, Tokens: 80_000}, Refused},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := book(tt.servers)
			s.ReceiveReport("other", Report{Usage: map[string]placement.Usage{"a0": tt.use, "b0": tt.use, "c0": tt.use}}, now)
			st := stream("1", now)
			tt.change(&st)
			s.Enqueue(st, now)
			d := decisions(s.Decide(now))["1"]
			if d.Outcome != tt.want {
				t.Errorf("outcome %d, want %d", d.Outcome, tt.want)
			}
			if d.Outcome == Refused && (d.RetryAfter < minRetryAfter || d.RetryAfter > maxRetryAfter) {
				t.Errorf("retry after %v", d.RetryAfter)
			}
		})
	}
}

// A VM is told "granted" and dies before it sends anything. Its grant must not hold the
// engine: it expires, and goes at once where the VM is known to be gone.
func TestGrantsOfLostVMs(t *testing.T) {
	now := time.Unix(0, 0)
	free := func(s *Scheduler, now time.Time) bool {
		s.Enqueue(stream("next", now), now)
		return decisions(s.Decide(now))["next"].Outcome == Granted
	}
	grantAll := func() *Scheduler {
		s := book(1)
		for _, id := range []string{"1", "2", "3"} {
			s.Enqueue(stream(id, now), now)
		}
		s.Decide(now)
		return s
	}
	if s := grantAll(); free(s, now) {
		t.Error("a granted engine was granted again")
	}
	if s := grantAll(); !free(s, now.Add(grantFor+time.Millisecond)) {
		t.Error("a grant that was never told of does not expire")
	}
	s := grantAll()
	s.ReceiveReport("vm", Report{}, now)
	s.Forget("vm")
	if !free(s, now) {
		t.Error("the grants of a VM that is gone are kept")
	}
}

// A quarter of the engines goes dark, two in each zone, and each VM takes all zones for
// lost. The engines that some VM hears are used again as soon as it says so; those of a
// zone that is lost are not, though a VM heard them just before they died.
func TestDoubtEndsWhereSomebodyHearsTheEngine(t *testing.T) {
	s, now := book(2), time.Unix(0, 0)
	all := []string{"a0", "a1", "b0", "b1", "c0", "c1"}
	usable := func(now time.Time) int {
		v := s.services["models"]
		return newRound(v, s.vms, s.health(now), now).usable
	}
	s.ReceiveReport("vm1", Report{Suspected: all}, now)
	s.ReceiveReport("vm2", Report{Suspected: all}, now)
	if n := usable(now); n != 0 {
		t.Errorf("%d usable while two VMs doubt them", n)
	}
	s.ReceiveReport("vm3", Report{Alive: []string{"a0"}}, now.Add(aliveDelay/2))
	if n := usable(now.Add(aliveDelay / 2)); n != 0 {
		t.Errorf("%d usable by news from before", n)
	}
	later := now.Add(aliveDelay + time.Millisecond)
	s.ReceiveReport("vm3", Report{Alive: []string{"a0", "b1"}}, later)
	if n := usable(later); n != 2 {
		t.Errorf("%d usable, two are heard", n)
	}
	s.ReceiveReport("vm4", Report{Avoid: []string{"a0"}}, later)
	s.ReceiveReport("vm5", Report{Avoid: []string{"a0"}}, later)
	if n := usable(later); n != 1 {
		t.Errorf("%d usable once two VMs found one dead", n)
	}
}

// One VM has lost its own link to a zone. Its streams go elsewhere; the others' do not.
func TestOneVMsLinkIsItsOwnMatter(t *testing.T) {
	s, now := book(1), time.Unix(0, 0)
	s.ReceiveReport("cut off", Report{Avoid: []string{"a0", "b0"}}, now)
	s.ReceiveReport("vm", Report{}, now)
	mine := stream("mine", now)
	mine.VM = "cut off"
	s.Enqueue(mine, now)
	if d := decisions(s.Decide(now))["mine"]; d.Server != "c0" {
		t.Errorf("the VM's own stream went to %s", d.Server)
	}
	for _, id := range []string{"1", "2"} {
		s.Enqueue(stream(id, now), now)
	}
	if n := len(s.Decide(now)); n != 2 {
		t.Errorf("%d of two streams of another VM placed", n)
	}
}

// All VMs lost power, and callers whose connections fell silent come back for the rest
// of their streams just before their time is over, while engines are idle. One whose
// rest cannot be made in that time is refused at once: an engine would read its prompt
// for nothing, and its caller wait for an answer that is cut off.
func TestStreamsWithoutTheTimeAreRefused(t *testing.T) {
	now := time.Unix(0, 0)
	pace := EngineTiming{PrefillPerToken: 125 * time.Microsecond, RunDuration: 5 * time.Second, EventsPerRun: 140}
	tests := []struct {
		name   string
		after  int // events that the caller has
		left   time.Duration
		cached string
		want   Outcome
	}{
		{"a new one with its usual time", 0, 25 * time.Second, "", Granted},
		{"a new one with the time of a quick run", 0, 4 * time.Second, "", Granted},
		{"a new one with half of that", 0, 2 * time.Second, "", Refused},
		{"the last events", 130, 2 * time.Second, "", Granted},
		{"more events than usual", 190, 1200 * time.Millisecond, "", Granted},
		{"the last events, no time for the prompt", 130, 600 * time.Millisecond, "", Refused},
		{"the last events, and the prompt is kept", 130, 600 * time.Millisecond, "a0", Granted},
		{"half of the events", 70, 1500 * time.Millisecond, "", Refused},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := book(1)
			s.ReceiveReport("other", Report{EngineTimings: map[string]EngineTiming{"models": pace}}, now)
			st := stream("1", now)
			st.Need.Prompt, st.EventsReceived, st.Interrupted, st.CachedEngine = 8000, tt.after, tt.after > 0, tt.cached
			st.Deadline = now.Add(tt.left)
			s.Enqueue(st, now)
			d := decisions(s.Decide(now))["1"]
			if d.Outcome != tt.want {
				t.Errorf("outcome %d, want %d", d.Outcome, tt.want)
			}
			if d.Outcome == Refused && d.RetryAfter < tt.left {
				t.Errorf("its caller is told to come back after %v, with %v left", d.RetryAfter, tt.left)
			}
		})
	}
}

// Callers that are refused together come back spread out, within the time they have.
func TestRefusedCallersComeBackSpread(t *testing.T) {
	now := time.Unix(0, 0)
	s := book(1)
	rng := 0
	s.rng = func(n int) int { rng += n / 7; return rng % n }
	full := placement.Usage{Requests: 9, Tokens: 84_000}
	s.ReceiveReport("other", Report{Usage: map[string]placement.Usage{"a0": full, "b0": full, "c0": full}, EngineTimings: map[string]EngineTiming{"models": {PrefillPerToken: 160 * time.Microsecond, RunDuration: 6 * time.Second}}}, now)
	for i := range 400 {
		s.Enqueue(stream(fmt.Sprint(i), now), now)
	}
	after := map[time.Duration]bool{}
	for _, d := range s.Decide(now) {
		if d.Outcome == Refused {
			after[d.RetryAfter] = true
			if d.RetryAfter > deadline/3 {
				t.Errorf("retry after %v of %v", d.RetryAfter, deadline)
			}
		}
	}
	if len(after) < 20 {
		t.Errorf("refused callers come back at %d different times", len(after))
	}
}

// A caller comes for the rest of a stream whose copy is gone. The engine that read its
// prompt reads another one now; it is the right one all the same, unless it has no room.
func TestCallerComesBackToItsPrompt(t *testing.T) {
	now := time.Unix(0, 0)
	for _, tt := range []struct {
		name string
		use  placement.Usage
		skip []string
		want string
	}{
		{"it reads another prompt", placement.Usage{Requests: 2, Tokens: 20_000, PendingPrompt: 8000}, nil, "b0"},
		{"it is full", placement.Usage{Requests: 9, Tokens: 84_000}, nil, "a0"},
		{"it has refused the stream", placement.Usage{}, []string{"b0"}, "a0"},
	} {
		t.Run(tt.name, func(t *testing.T) {
			s := book(1)
			s.ReceiveReport("other", Report{Usage: map[string]placement.Usage{"b0": tt.use, "c0": {Requests: 5}}}, now)
			st := stream("1", now)
			st.CachedEngine, st.ExcludedEngines, st.Interrupted = "b0", tt.skip, true
			s.Enqueue(st, now)
			if d := decisions(s.Decide(now))["1"]; d.Server != tt.want {
				t.Errorf("went to %q, want %q", d.Server, tt.want)
			}
		})
	}
}

// A third of the engines turns three times slower. In order: a prompt is granted to one
// of them before anybody knows; it takes three times as long, and from the moment that it
// is overdue the engine counts as slow: prompts that would be late there go elsewhere, or
// wait for another. What was seen of the engine fades, and it is tried again.
func TestSlowEnginesAreKnown(t *testing.T) {
	s, now := book(1), time.Unix(0, 0)
	usual := 160 * time.Microsecond
	pace := map[string]EngineTiming{"models": {PrefillPerToken: usual, RunDuration: 6 * time.Second}}
	s.ReceiveReport("vm", Report{EngineTimings: pace}, now)
	read := func(id string, took time.Duration, skip ...string) string {
		st := stream(id, now)
		st.ExcludedEngines = skip
		s.Enqueue(st, now)
		d := decisions(s.Decide(now))[id]
		s.ReceiveReport("vm", Report{EngineTimings: pace, LastGrant: d.Number, Usage: map[string]placement.Usage{d.Server: {Requests: 1, PendingPrompt: 8000}}}, now)
		if d.Server == "a0" {
			took *= 3
		}
		now = now.Add(took)
		s.ReceiveReport("vm", Report{EngineTimings: pace, LastGrant: d.Number}, now)
		return d.Server
	}
	read("1", 1280*time.Millisecond, "b0", "c0")
	read("2", 1280*time.Millisecond, "a0", "c0")
	read("3", 1280*time.Millisecond, "a0", "b0")
	slow := func() float64 {
		v := s.services["models"]
		return s.servers["a0"].slowness(v.medianSpeed(), now)
	}
	if f := slow(); f < 2 {
		t.Fatalf("an engine that read three times slower counts as %.1f", f)
	}
	for i := range 4 {
		if got := read(fmt.Sprint("next", i), 1280*time.Millisecond); got == "a0" {
			t.Error("a prompt went to the slow engine while others are free")
		}
	}
	now = now.Add(5 * slowHalves) // nothing was sent there meanwhile
	if f := slow(); f > 1 {
		t.Errorf("long after, it still counts as %.1f", f)
	}
}

// Every engine is slow: compared with the others none stands out, and none is avoided.
func TestAllEnginesSlow(t *testing.T) {
	s, now := book(1), time.Unix(0, 0)
	for _, e := range s.services["models"].servers {
		e.speed = speed{800 * time.Microsecond, now}
	}
	s.ReceiveReport("vm", Report{EngineTimings: map[string]EngineTiming{"models": {PrefillPerToken: 800 * time.Microsecond, RunDuration: 6 * time.Second}}}, now)
	for _, id := range []string{"1", "2", "3"} {
		s.Enqueue(stream(id, now), now)
	}
	if n := len(s.Decide(now)); n != 3 {
		t.Errorf("%d of three placed", n)
	}
}
