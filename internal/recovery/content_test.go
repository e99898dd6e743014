package recovery

import (
	"fmt"
	"math/rand/v2"
	"reflect"
	"slices"
	"testing"
	"time"
)

// Guards against one request that takes down a whole service: its content ends every server
// that runs it. Two servers end before it is suspect, one by its trial, and none in the next
// ten minutes.
func TestCrashingContentIsHeldBack(t *testing.T) {
	c, trials := NewSuspectContents(), NewContentTrials()
	start := time.Unix(1000, 0)
	ended := 0
	for at := time.Duration(0); at < 10*time.Minute; at += 500 * time.Millisecond {
		now := start.Add(at)
		standing, _ := c.Standing(7, now)
		trial := standing == ContentOnTrial
		if standing == ContentHeld || trial && trials.Request(7, "vm", "votes", false, now) > 0 {
			continue
		}
		ended++
		c.ServerDied(7, fmt.Sprint("server", ended), trial, now)
		trials.End(7, "vm", false)
	}
	if ended != 3 {
		t.Errorf("got %d servers ended, want 3", ended)
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
	c.ServerDied(7, "a", false, now)
	c.ServerDied(7, "a", false, now)
	requireStanding(ContentSuspect, "after two reports of one death")
	c.ServerDied(7, "b", false, now)
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
		{Deaths: map[string]time.Time{"a": at(1), "b": at(2)}},
		{ClearedAt: at(3)},
		{Deaths: map[string]time.Time{"a": at(1)}, ConvictedAt: at(1)},
		{Deaths: map[string]time.Time{"c": at(4)}},
		{Deaths: map[string]time.Time{"d": at(5), "c": at(4)}, ConvictedAt: at(5)},
	}
	want := ContentRecord{Deaths: map[string]time.Time{"c": at(4), "d": at(5)}, ClearedAt: at(3), ConvictedAt: at(5)}
	for range 50 {
		c := NewSuspectContents()
		for _, i := range slices.Concat(rand.Perm(len(records)), rand.Perm(len(records))) {
			c.Merge(7, records[i], at(6))
		}
		if got := c.Record(7); !reflect.DeepEqual(got, want) {
			t.Fatalf("got %v, want %v", got, want)
		}
	}
}

// Guards against a content that is forgotten, and ends several more servers, when its
// conviction is over: it is sent as a trial again.
func TestConvictedContentIsTriedAgain(t *testing.T) {
	c := NewSuspectContents()
	now := time.Unix(1000, 0)
	for i := range trialDeaths {
		c.ServerDied(7, fmt.Sprint("server", i), false, now)
	}
	c.ServerDied(7, "trial", true, now)
	for _, tt := range []struct {
		after time.Duration
		want  ContentStanding
	}{
		{3 * time.Second, ContentHeld},
		{time.Minute, ContentHeld},
		{convictionTime - time.Second, ContentHeld},
		{convictionTime, ContentOnTrial},
		{suspectTTL, ContentOnTrial},
		{suspectTTL + time.Second, ContentFree},
	} {
		if got, _ := c.Standing(7, now.Add(tt.after)); got != tt.want {
			t.Errorf("got standing %q %v after the conviction, want %q", got, tt.after, tt.want)
		}
	}
}

func TestContentsAreBounded(t *testing.T) {
	c := NewSuspectContents()
	now := time.Unix(1000, 0)
	for i := range 3 * maxContents {
		c.ServerDied(uint64(i), "a", false, now)
	}
	if len(c.byDigest) > maxContents {
		t.Errorf("got %d contents, want at most maxContents", len(c.byDigest))
	}
}
