package recovery

import (
	"fmt"
	"math/rand/v2"
	"reflect"
	"slices"
	"strings"
	"testing"
	"time"
)

// Guards against one request that takes down a whole service: its content ends every server
// that runs it. Two servers end before it is suspect, and three by its trials in an hour.
func TestCrashingContentIsHeldBack(t *testing.T) {
	c, trials := NewSuspectContents(), NewContentTrials()
	start := time.Unix(1000, 0)
	ended := 0
	for at := time.Duration(0); at < time.Hour; at += 500 * time.Millisecond {
		now := start.Add(at)
		standing, _ := c.Standing(7, now)
		trial := standing == ContentOnTrial
		if standing == ContentHeld || trial && trials.Request(7, "vm", "votes", false, now) > 0 {
			continue
		}
		ended++
		c.ServerDied(7, fmt.Sprint("server", ended), trial, time.Time{}, now)
		trials.End(7, "vm", false)
	}
	if ended != 5 {
		t.Errorf("got %d servers ended, want 5", ended)
	}
}

// Guards against the refusal of harmless content: many callers ask for it, so it is in
// flight on two servers that die at once. An answer that was sent after their deaths clears
// it; one that was sent before says nothing.
func TestInnocentContentIsCleared(t *testing.T) {
	c := NewSuspectContents()
	now := time.Unix(1000, 0)
	requireStanding := func(want ContentStanding, when string) {
		t.Helper()
		if got, _ := c.Standing(7, now.Add(time.Second)); got != want {
			t.Errorf("got standing %q %s, want %q", got, when, want)
		}
	}
	c.ServerDied(7, "a", false, time.Time{}, now)
	c.ServerDied(7, "a", false, time.Time{}, now)
	requireStanding(ContentSuspect, "after two reports of one death")
	c.ServerDied(7, "b", false, time.Time{}, now)
	requireStanding(ContentOnTrial, "after two deaths")
	c.Succeeded(7, now.Add(-time.Millisecond))
	requireStanding(ContentOnTrial, "after the answer to a request from before the deaths")
	if cleared := c.Succeeded(7, now.Add(time.Millisecond)); cleared != 2 {
		t.Errorf("got cleared of %d deaths, want 2", cleared)
	}
	requireStanding(ContentFree, "after the answer to a later request")
}

// Guards against VMs that judge a content differently: reports arrive in any order, several
// times, and late. A death from before a clearance must not come back with a late report.
func TestContentRecordsMerge(t *testing.T) {
	now := time.Unix(1000, 0)
	at := func(s int) time.Time { return now.Add(time.Duration(s) * time.Second) }
	records := []ContentRecord{
		{Deaths: []ContentDeath{{"a", at(1), false}, {"b", at(2), false}}},
		{ClearedAt: at(3)},
		{Deaths: []ContentDeath{{"a", at(1), true}}},
		{Deaths: []ContentDeath{{"c", at(4), false}}},
		{Deaths: []ContentDeath{{"d", at(5), true}, {"c", at(4), true}}},
	}
	want := ContentRecord{Deaths: []ContentDeath{{"c", at(4), true}, {"d", at(5), true}}, ClearedAt: at(3)}
	for range 50 {
		c := NewSuspectContents()
		for _, i := range slices.Concat(rand.Perm(len(records)), rand.Perm(len(records))) {
			c.Merge(7, records[i], at(6))
		}
		got := c.Record(7)
		slices.SortFunc(got.Deaths, func(a, b ContentDeath) int { return strings.Compare(a.Server, b.Server) })
		if !reflect.DeepEqual(got, want) {
			t.Fatalf("got %v, want %v", got, want)
		}
	}
}

// Guards against the only server of a service, which starts again under its id each time and
// ends again: reports of one death count once, its next death counts anew.
func TestServerThatDiesAgainCountsAgain(t *testing.T) {
	c := NewSuspectContents()
	now := time.Unix(1000, 0)
	for _, tt := range []struct{ after, deaths int }{{0, 1}, {1, 1}, {5, 2}, {6, 2}, {10, 3}} {
		if deaths, _ := c.ServerDied(7, "only", false, time.Time{}, now.Add(time.Duration(tt.after)*time.Second)); deaths != tt.deaths {
			t.Errorf("got %d deaths after %d s, want %d", deaths, tt.after, tt.deaths)
		}
	}
}

// Guards against a content that is forgotten, and ends several more servers, when it is no
// longer held back: it is sent as a trial again. Harmless content whose trial met the death of
// a server by another cause is held back for some time only.
func TestContentIsTriedAgain(t *testing.T) {
	now := time.Unix(1000, 0)
	for _, tt := range []struct {
		trials int
		after  time.Duration
		want   ContentStanding
	}{
		{1, 3 * time.Second, ContentHeld},
		{1, 10 * time.Second, ContentHeld},
		{1, firstHold, ContentOnTrial},
		{1, time.Hour, ContentOnTrial},
		{2, time.Minute, ContentHeld},
		{2, secondHold, ContentOnTrial},
		{3, 10 * time.Minute, ContentHeld},
		{3, laterHold, ContentOnTrial},
		{3, suspectTTL, ContentOnTrial},
		{3, suspectTTL + time.Second, ContentFree},
	} {
		c := NewSuspectContents()
		c.ServerDied(7, "first", false, time.Time{}, now)
		c.ServerDied(7, "second", false, time.Time{}, now)
		for i := range tt.trials {
			c.ServerDied(7, fmt.Sprint("trial", i), true, time.Time{}, now)
		}
		if got, _ := c.Standing(7, now.Add(tt.after)); got != tt.want {
			t.Errorf("%d trials: got standing %q after %v, want %q", tt.trials, got, tt.after, tt.want)
		}
	}
}

func TestContentsAreBounded(t *testing.T) {
	c := NewSuspectContents()
	now := time.Unix(1000, 0)
	for i := range 3 * maxContents {
		c.ServerDied(uint64(i), "a", false, time.Time{}, now)
	}
	if len(c.byDigest) > maxContents {
		t.Errorf("got %d contents, want at most maxContents", len(c.byDigest))
	}
}

// Guards against deaths that are taken for one, since the server starts again under its id at once
// and the content ends it again. Runs that began after a death are of another one.
func TestServerThatDiesAgainAtOnce(t *testing.T) {
	at := time.Unix(1000, 0)
	second := func(n int) time.Time { return at.Add(time.Duration(n) * time.Second) }
	own := NewSuspectContents()
	for i := range 3 {
		own.ServerDied(7, "a", false, second(i).Add(-30*time.Millisecond), second(i))
		own.ServerDied(7, "a", false, second(i).Add(-30*time.Millisecond), second(i).Add(10*time.Millisecond)) // the same
	}
	if n := len(own.Record(7).Deaths); n != 3 {
		t.Errorf("got %d deaths, want 3", n)
	}
	other := NewSuspectContents()
	other.ServerDied(7, "a", false, time.Time{}, second(1).Add(50*time.Millisecond))
	for range 2 { // a record that is told again adds nothing
		other.Merge(7, own.Record(7), second(3))
	}
	if n := len(other.Record(7).Deaths); n != 3 {
		t.Errorf("got %d deaths after a merge, want 3", n)
	}
}

// Guards against the blame for a server that was only silent, and against the pardon of a content
// that did end one: deaths are withdrawn from the earliest on, and not past one that stands.
func TestDeathOfAnAliveServerIsWithdrawn(t *testing.T) {
	start := time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)
	at := func(d time.Duration) time.Time { return start.Add(d) }
	for _, tt := range []struct {
		name  string
		alive string // the servers that answer again
		want  string // those whose deaths stand
	}{
		{"none", "", "abc"},
		{"the first", "a", "bc"},
		{"the first two", "ab", "c"},
		{"all", "abc", ""},
		{"all but the first", "bc", "abc"},
		{"all but the last", "ab", "c"},
		{"the first and the last", "ac", "bc"},
	} {
		t.Run(tt.name, func(t *testing.T) {
			c, told := NewSuspectContents(), NewSuspectContents()
			for i, server := range []string{"a", "b", "c"} {
				now := at(time.Duration(i) * 40 * time.Millisecond)
				c.ServerDied(7, server, false, start, now)
				told.ServerDied(7, server, false, start, now.Add(5*time.Millisecond)) // the report took so long
			}
			now := at(time.Second)
			n := c.Withdraw(7, func(d ContentDeath) bool { return strings.Contains(tt.alive, d.Server) }, now)
			if want := 3 - len(tt.want); n != want {
				t.Errorf("%d deaths were withdrawn, want %d", n, want)
			}
			told.Merge(7, c.Record(7), now)
			for _, contents := range []*SuspectContents{c, told} {
				got := ""
				for _, d := range contents.Record(7).Deaths {
					got += d.Server
				}
				if got != tt.want {
					t.Errorf("the deaths of %q stand, want %q", got, tt.want)
				}
			}
		})
	}
}
