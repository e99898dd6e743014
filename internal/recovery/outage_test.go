package recovery

import (
	"testing"
	"time"
)

// Guards against two errors: a lost zone that keeps attracting requests, and a zone that is
// avoided because single servers were replaced in it.
func TestOutage(t *testing.T) {
	type death struct {
		domain, id string
		at         time.Duration
		lost       bool
	}
	tests := []struct {
		name    string
		servers int // of each domain
		deaths  []death
	}{
		{"one engine, reported twice", 8, []death{{"b", "1", 0, false}, {"b", "1", 100 * time.Millisecond, false}}},
		{"two at once", 8, []death{{"b", "1", 0, false}, {"b", "2", 10 * time.Millisecond, true}}},
		{"two domains", 8, []death{{"a", "1", 0, false}, {"b", "2", 0, false}, {"a", "3", 0, true}}},
		{"a release, one after the other", 8, []death{{"b", "1", 0, false}, {"b", "2", 1200 * time.Millisecond, false}}},
		{"two of three", 3, []death{{"b", "1", 0, false}, {"b", "2", 10 * time.Millisecond, true}}},
		{"the only two", 2, []death{{"b", "1", 0, false}, {"b", "2", 10 * time.Millisecond, true}}},
		{"two of twelve", 12, []death{{"b", "1", 0, false}, {"b", "2", 10 * time.Millisecond, true}}},
		{"some of thirty", 30, []death{{"b", "1", 0, false}, {"b", "2", 0, false}, {"b", "3", 0, false}, {"b", "4", 0, false}, {"b", "5", 900 * time.Millisecond, false}}},
		{"seven of thirty", 30, []death{
			{"b", "1", 0, false},
			{"b", "2", 0, false},
			{"b", "3", 0, false},
			{"b", "4", 0, false},
			{"b", "5", 0, false},
			{"b", "6", 0, false},
			{"b", "7", 500 * time.Millisecond, true},
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var o Outage
			start := time.Unix(1000, 0)
			for i, d := range tt.deaths {
				if lost := o.Note(d.domain, d.id, tt.servers, start.Add(d.at)); lost != d.lost {
					t.Errorf("death %d: got lost %t, want the opposite", i, lost)
				}
			}
		})
	}
}
