package scheduler

import (
	"fmt"
	"maps"
	"testing"
	"time"

	"github.com/amaranthshelf/amaranthshelf/internal/placement"
)

// versionFixture is a Scheduler with engines of several versions.
type versionFixture struct {
	t   *testing.T
	s   *Scheduler
	now time.Time
	n   int
	use map[string]placement.Usage
}

const versionKVTokens = 88_000

func newVersionFixture(t *testing.T, engines map[string]int) *versionFixture {
	f := &versionFixture{t: t, s: New(func(int) int { return 0 }), now: time.Unix(1000, 0), use: map[string]placement.Usage{}}
	var list []Server
	for version, n := range engines {
		for i := range n {
			list = append(list, Server{ID: fmt.Sprint(version, "-", i), Service: "models", Zone: fmt.Sprint("zone", i%3), Slots: 64, Version: version})
		}
	}
	f.s.SetServers(list)
	return f
}

// load reports runs on an engine that take tokens.
func (f *versionFixture) load(engine string, tokens int) {
	f.use = maps.Clone(f.use)
	f.use[engine] = placement.Usage{Requests: tokens / 9000, Tokens: tokens}
	f.s.ReceiveReport("vm", Report{Usage: f.use}, f.now)
}

func (f *versionFixture) stream(interrupted bool, versions ...string) Stream {
	f.n++
	return Stream{
		ID: fmt.Sprint(f.n), Service: "models", KVTokens: versionKVTokens, Need: longPrompt, Interrupted: interrupted, Versions: versions, VM: "vm", WantsCopy: true,
		Due: f.now.Add(objective), Deadline: f.now.Add(deadline),
	}
}

// decide returns the decision about a stream, Waiting if there is none.
func (f *versionFixture) decide(st Stream) Answer {
	f.now = f.now.Add(rescanInterval)
	f.s.Enqueue(st, f.now)
	for _, d := range f.s.Decide(f.now) {
		if d.Stream.ID == st.ID {
			return d.Answer
		}
	}
	return Answer{}
}

func (f *versionFixture) versionOf(engine string) string {
	if e := f.s.servers[engine]; e != nil {
		return e.Version
	}
	return ""
}

// Guards against a stream or its copy at another version than those that may run it.
func TestVersionsOfAStream(t *testing.T) {
	engines := map[string]int{"": 3, "v1": 3, "V1": 3, "v2": 3}
	tests := []struct {
		name     string
		versions []string
	}{
		{"one", []string{"v1"}},
		{"one without a name", []string{""}},
		{"two", []string{"V1", "v2"}},
		{"all", []string{"", "V1", "v1", "v2"}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := newVersionFixture(t, engines)
			allowed := map[string]bool{}
			for _, v := range tt.versions {
				allowed[v] = true
			}
			for range 3 {
				a := f.decide(f.stream(false, tt.versions...))
				if a.Outcome != Granted || !allowed[f.versionOf(a.Server)] {
					t.Fatalf("got %+v, want an engine of %q", a, tt.versions)
				}
				if a.BackupEngine != "" && f.versionOf(a.BackupEngine) != f.versionOf(a.Server) {
					t.Errorf("got engine %s and a copy at %s, want both of one version", a.Server, a.BackupEngine)
				}
			}
		})
	}
	f := newVersionFixture(t, engines)
	if a := f.decide(f.stream(true, "v3")); a.Outcome != NoServer {
		t.Errorf("a version without engines: got %+v, want NoServer", a)
	}
}

// Guards against new streams that take the room of streams in progress at a version with few
// engines, and against engines that stay empty for it.
func TestScarceVersionKeepsRoom(t *testing.T) {
	tests := []struct {
		name    string
		engines map[string]int
		taken   map[string]int // tokens by engine
		scarce  bool           // new streams leave v2 alone
	}{
		{"one engine beside 35", map[string]int{"v1": 35, "v2": 1}, nil, true},
		{"two that could replace each other", map[string]int{"v1": 34, "v2": 2}, map[string]int{"v2-0": 30_000, "v2-1": 30_000}, false},
		{"two that could not", map[string]int{"v1": 34, "v2": 2}, map[string]int{"v2-0": 50_000, "v2-1": 50_000}, true},
		{"equal versions", map[string]int{"v1": 12, "v2": 12, "v3": 12}, map[string]int{"v2-0": 80_000}, false},
		{"one engine of each", map[string]int{"v1": 1, "v2": 1}, map[string]int{"v2-0": 30_000}, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := newVersionFixture(t, tt.engines)
			for version, n := range tt.engines { // others are so loaded that the emptiest are preferred
				for i := range n {
					if version != "v2" {
						f.load(fmt.Sprint(version, "-", i), 65_000)
					}
				}
			}
			for engine, tokens := range tt.taken {
				f.load(engine, tokens)
			}
			fresh := f.decide(f.stream(false, "v1", "v2", "v3"))
			if usesScarce := f.versionOf(fresh.Server) == "v2"; fresh.Outcome != Granted || usesScarce == tt.scarce {
				t.Errorf("a new stream got %+v, at version v2: %t; want that to be %t", fresh, usesScarce, !tt.scarce)
			}
			f.now = f.now.Add(5 * time.Second) // the new stream is granted, and its VM never reports it
			if a := f.decide(f.stream(true, "v2")); a.Outcome != Granted || f.versionOf(a.Server) != "v2" {
				t.Errorf("a stream in progress got %+v, want an engine of v2", a)
			}
		})
	}
}

// Guards against a stream in progress that waits for room at its version while new streams take
// each engine that becomes free.
func TestStreamInProgressGetsTheNextEngineOfItsVersion(t *testing.T) {
	f := newVersionFixture(t, map[string]int{"v1": 4, "v2": 2})
	for engine, tokens := range map[string]int{"v1-0": 86_000, "v1-1": 86_000, "v1-2": 86_000, "v1-3": 86_000, "v2-0": 86_000, "v2-1": 86_000} {
		f.load(engine, tokens)
	}
	interrupted := f.stream(true, "v2")
	if a := f.decide(interrupted); a.Outcome != Waiting {
		t.Fatalf("got %+v while all engines are full, want it to wait", a)
	}
	fresh := []Stream{f.stream(false, "v1", "v2"), f.stream(false, "v1", "v2"), f.stream(false, "v1", "v2")}
	for _, st := range fresh {
		f.decide(st)
	}
	f.load("v2-1", 60_000)
	f.now = f.now.Add(rescanInterval)
	decisions := f.s.Decide(f.now)
	if len(decisions) == 0 || decisions[0].Stream.ID != interrupted.ID || decisions[0].Server != "v2-1" {
		t.Errorf("got decisions %+v, want v2-1 for the stream in progress first", decisions)
	}
}
