package virtualtime

import (
	"slices"
	"testing"
	"time"
)

func TestQueueOrder(t *testing.T) {
	start := time.Unix(100, 0)
	q := New(start)
	var ran []string
	note := func(name string) func() {
		return func() { ran = append(ran, name+q.Now().Sub(start).String()) }
	}
	q.After(2*time.Second, note("late "))
	q.After(time.Second, note("first "))
	q.After(time.Second, note("second "))
	q.After(-time.Second, note("past "))
	q.After(time.Second, func() { q.After(500*time.Millisecond, note("brought about ")) })
	q.After(3*time.Second, note("not yet "))
	q.Run(start.Add(2 * time.Second))

	want := []string{"past 0s", "first 1s", "second 1s", "brought about 1.5s", "late 2s"}
	if !slices.Equal(ran, want) {
		t.Errorf("ran %q, want %q", ran, want)
	}
	if got := q.Now().Sub(start); got != 2*time.Second {
		t.Errorf("the clock stands at %v", got)
	}
}
