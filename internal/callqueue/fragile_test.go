package callqueue

import (
	"fmt"
	"testing"
	"time"
)

// Guards against a server that ends since calls are granted beyond the room that it has left, after
// a refusal, a pause of the granter, or for a server of which nothing is known yet.
func TestFragileServersGetFewerCalls(t *testing.T) {
	start := time.Unix(100, 0)
	newQueue := func() *Queue {
		q := New(0, func() float64 { return 0.5 })
		q.SetServers([]Server{{ID: "a", Service: "votes", Slots: 6}, {ID: "b", Service: "votes", Slots: 6}})
		return q
	}
	granted := func(q *Queue, at time.Time) map[string]int {
		out := map[string]int{}
		for i := range 40 {
			q.Request(Call{ID: fmt.Sprint(i), Router: "r", Service: "votes", Due: at.Add(time.Minute), Deadline: at.Add(time.Minute), Objective: 300 * time.Millisecond, Expected: 15 * time.Millisecond}, at)
		}
		for _, d := range q.Decide("votes", at) {
			out[d.Server]++
		}
		return out
	}
	report := func(q *Queue, limit float64, refused int, at time.Time) {
		q.Report("votes", "other", &Report{Incarnation: 1, Seq: uint64(at.UnixNano()), Rejections: map[string]Rejections{"a": {Limit: limit, Count: refused}}}, at)
	}
	for _, tt := range []struct {
		name    string
		limit   float64
		refused int
		after   time.Duration // until the calls come
		a, b    int           // calls that are granted
	}{
		{"usual", -1, 0, time.Second, 12, 12},
		{"just learned", 5, 0, 0, 3, 3},
		{"learned", 5, 0, time.Second, 7, 7},
		{"after one refusal", 5, 1, 2 * time.Second, 6, 7},
		{"after the refusals that pause it", 5, 2, 500 * time.Millisecond, 0, 7},
		{"no refusal is borne", 0, 1, 500 * time.Millisecond, 0, 7},
		{"after the ceiling", 5, 1, 4 * time.Second, 6, 7},
		{"no statement for long", 5, 1, time.Minute, 12, 12},
	} {
		t.Run(tt.name, func(t *testing.T) {
			q := newQueue()
			if tt.limit >= 0 {
				report(q, tt.limit, tt.refused, start)
			}
			if got := granted(q, start.Add(tt.after)); got["a"] != tt.a || got["b"] != tt.b {
				t.Errorf("got grants %v, want %d at a and %d at b", got, tt.a, tt.b)
			}
		})
	}
}
