package forward_test

import (
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/amaranthshelf/amaranthshelf/internal/forward"
	"github.com/amaranthshelf/amaranthshelf/internal/standin/routedengine"
	"github.com/amaranthshelf/amaranthshelf/internal/upstream"
)

const (
	engineStartMS = 1_790_000_000_000
	engineDown    = 600 * time.Millisecond
	listLag       = 800 * time.Millisecond
)

// upgradableEngine is an engine whose events name its version, and whose list entry its start.
func upgradableEngine(version, zone string) *routedengine.Server {
	s := withVersion(version, engine(zone))
	s.NamesVersion, s.BornMS, s.PrefillTime, s.Events = true, engineStartMS, 60*time.Millisecond, 200
	return s
}

// upgrade starts the engines of a version again with another one, under their ids. The list does not show
// it yet.
func (f *fixture) upgrade(from, to string) {
	var ended []*routedengine.Server
	for _, s := range f.servers {
		if s.Version == from {
			ended = append(ended, s)
		}
	}
	restartAs(to, ended...)
}

// restartAs starts engines again with a version, under their ids.
func restartAs(to string, ended ...*routedengine.Server) {
	for _, s := range ended {
		s.Set(routedengine.Dead)
	}
	time.Sleep(engineDown)
	for _, s := range ended {
		s.Version, s.BornMS = to, s.BornMS+engineDown.Milliseconds()
		s.Set(routedengine.Alive)
	}
}

func (f *fixture) showList() {
	f.fleet.Apply(upstream.List{Backends: f.net.Backends(), AsOf: time.Now()})
}

// versions returns the versions whose events an answer has.
func (a *answer) versions() (out []string) {
	for _, v := range []string{"v1", "v2"} {
		if strings.Contains(a.text.String(), routedengine.VersionMark+v) {
			out = append(out, v)
		}
	}
	return out
}

// Guards against answers that are joined from two versions: engines start again under their ids with
// another version, and the list names the former one for a while.
func TestStreamsAreNotJoinedAtRestartedEngines(t *testing.T) {
	for _, zones := range [][]string{{"a", "a"}, {"a", "b"}} {
		t.Run(strings.Join(zones, ","), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFixture(t, upgradableEngine("v1", zones[0]), upgradableEngine("v1", zones[1]), upgradableEngine("v2", "b"), upgradableEngine("v2", "c"))
				defer f.shutDown()
				var answers []*answer
				for i := range 12 {
					answers = append(answers, f.send("POST", "/s/1", fmt.Sprint("r", i), fmt.Sprint("log ", i)))
				}
				time.Sleep(time.Second)
				f.upgrade("v1", "v2")
				begunSince := len(answers)
				for i := range 12 {
					answers = append(answers, f.send("POST", "/s/1", fmt.Sprint("s", i), fmt.Sprint("log of ", i)))
				}
				time.Sleep(listLag)
				f.showList()
				for i, a := range answers {
					<-a.done
					if v := a.versions(); len(v) > 1 {
						t.Errorf("answer %d has events of versions %v", i, v)
					}
					if i >= begunSince && a.broken {
						t.Errorf("answer %d, which began after the restart, is broken off", i)
					}
				}
				rest := f.send("POST", "/s/1", "last", "log")
				<-rest.done
				if rest.broken || len(rest.versions()) != 1 {
					t.Errorf("the last answer is broken: %t, versions %v", rest.broken, rest.versions())
				}
			})
		})
	}
}

// Guards against an engine that is lost for good: it has started again with the same version, and the
// list does not show it.
func TestRestartedEngineOfTheOnlyVersionIsUsed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, upgradableEngine("v1", "a"))
		defer f.shutDown()
		f.upgrade("v1", "v1")
		for i := range 5 {
			a := f.send("POST", "/s/1", fmt.Sprint("r", i), "log", forward.HeaderDeadline, "20000")
			<-a.done
			if a.broken || a.events() != 200 {
				t.Errorf("stream %d: broken off: %t, after %d events of 200", i, a.broken, a.events())
			}
		}
	})
}

// Guards against answers that are joined from two versions, while a single one is known: an engine
// starts again under its id with another version, begins streams before the list shows it, and is lost.
func TestStreamsBegunAtRestartedEnginesAreNotJoined(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, upgradableEngine("v1", "a"), upgradableEngine("v1", "b"))
		defer f.shutDown()
		time.Sleep(time.Second)
		restartAs("v2", f.servers[0])
		var answers []*answer
		for i := range 12 {
			answers = append(answers, f.send("POST", "/s/1", fmt.Sprint("r", i), fmt.Sprint("log ", i)))
		}
		time.Sleep(listLag)
		f.servers[0].Set(routedengine.Dead)
		begunThere := 0
		for i, a := range answers {
			<-a.done
			v := a.versions()
			if len(v) > 1 {
				t.Errorf("answer %d has events of versions %v", i, v)
			}
			if len(v) > 0 && v[0] == "v1" && a.broken {
				t.Errorf("answer %d of v1 is broken off", i)
			}
			if strings.Contains(a.text.String(), routedengine.VersionMark+"v2") {
				begunThere++
			}
		}
		if begunThere == 0 {
			t.Error("no stream began at the restarted engine")
		}
	})
}
