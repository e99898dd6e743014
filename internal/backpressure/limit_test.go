package backpressure

import (
	"testing"
	"time"
)

// changeOf returns the one change of a statement.
func changeOf(changes []Change) Change {
	if len(changes) == 0 {
		return Unchanged
	}
	return changes[0]
}

// The limit of a server with several requests in flight must not end by an answer that was
// on its way when another answer named it, and must end by the first later one without it.
func TestLimitEndsByALaterRequestOnly(t *testing.T) {
	start := time.Unix(0, 0)
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	named := func(rate float64) LimitStatement { return LimitStatement{Kind: LimitStated, Rate: rate} }
	type answer struct {
		states         LimitStatement
		sent, received int // ms
	}
	tests := []struct {
		name    string
		answers []answer
		want    Change
		rate    float64
	}{
		{"named", []answer{{named(9), 1, 2}}, LimitLearned, 9},
		{"named again", []answer{{named(9), 1, 2}, {named(9), 3, 4}}, Unchanged, 9},
		{"lowered", []answer{{named(9), 1, 2}, {named(4), 3, 4}}, LimitChanged, 4},
		{"of nothing", []answer{{named(0), 1, 2}}, LimitLearned, 0},
		{"none stated", []answer{{LimitStatement{}, 1, 2}}, Unchanged, 0},
		{"answer that was sent for before", []answer{{named(9), 1, 5}, {LimitStatement{}, 4, 8}}, Unchanged, 9},
		{"answer that was sent for later", []answer{{named(9), 1, 5}, {LimitStatement{}, 6, 8}}, LimitEnded, 9},
		{"unreadable", []answer{{named(9), 1, 5}, {LimitStatement{Kind: LimitUnreadable}, 6, 8}}, Unchanged, 9},
		{"unreadable without a former one", []answer{{LimitStatement{Kind: LimitUnreadable}, 6, 8}}, Unchanged, 0},
		{"named after its end", []answer{{named(9), 1, 2}, {LimitStatement{}, 3, 4}, {named(9), 5, 6}}, LimitLearned, 9},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var s Server
			got := Unchanged
			for _, a := range tt.answers {
				got = changeOf(s.Learn(Statement{Limit: a.states}, 1, at(a.sent), at(a.received)))
			}
			if got != tt.want || s.Limit().Rate != tt.rate {
				t.Errorf("got %q with the rate %v, want %q with %v", got, s.Limit().Rate, tt.want, tt.rate)
			}
		})
	}
}

// VMs learn statements in different orders, and must agree on the limit all the same.
func TestLimitsMergeInAnyOrder(t *testing.T) {
	at := func(s int64) time.Time { return time.Unix(s, 0) }
	parts := []Limit{{Rate: 9, NamedAt: at(1)}, {EndedAt: at(2)}, {Rate: 4, NamedAt: at(3)}}
	orders := [][]int{{0, 1, 2}, {0, 2, 1}, {1, 0, 2}, {1, 2, 0}, {2, 0, 1}, {2, 1, 0}}
	for _, order := range orders {
		var got Limit
		for _, i := range order {
			got = got.Merge(parts[i])
		}
		if want := (Limit{Rate: 4, NamedAt: at(3), EndedAt: at(2)}); got != want || !got.InForce() {
			t.Errorf("order %v: got %+v, want %+v", order, got, want)
		}
	}
}
