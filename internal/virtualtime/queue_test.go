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
	record := func(name string) func() {
		return func() { ran = append(ran, name+q.Now().Sub(start).String()) }
	}
	q.After(2*time.Second, record("late "))
	q.After(time.Second, record("first "))
	q.After(time.Second, record("second "))
	q.After(-time.Second, record("past "))
	q.After(time.Second, func() { q.After(500*time.Millisecond, record("nested ")) })
	q.After(3*time.Second, record("after the end "))
	q.Run(start.Add(2 * time.Second))

	want := []string{"past 0s", "first 1s", "second 1s", "nested 1.5s", "late 2s"}
	if !slices.Equal(ran, want) {
		t.Errorf("got events %q, want %q", ran, want)
	}
	if got := q.Now().Sub(start); got != 2*time.Second {
		t.Errorf("got clock at %v, want 2s", got)
	}
}
