package recovery

import (
	"testing"
	"time"
)

func TestOutage(t *testing.T) {
	type death struct {
		place, id string
		at        time.Duration
		lost      bool
	}
	tests := []struct {
		name   string
		deaths []death
	}{
		{"one engine, told twice", []death{{"b", "1", 0, false}, {"b", "1", 100 * time.Millisecond, false}}},
		{"two at once", []death{{"b", "1", 0, false}, {"b", "2", 10 * time.Millisecond, true}}},
		{"two places", []death{{"a", "1", 0, false}, {"b", "2", 0, false}, {"a", "3", 0, true}}},
		{"a release, one after the other", []death{{"b", "1", 0, false}, {"b", "2", 1200 * time.Millisecond, false}}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var o Outage
			start := time.Unix(1000, 0)
			for i, d := range tt.deaths {
				if lost := o.Note(d.place, d.id, start.Add(d.at)); lost != d.lost {
					t.Errorf("death %d: lost %t", i, lost)
				}
			}
		})
	}
}
