package load

import (
	"strings"
	"testing"
	"time"
)

func TestScheduleIsOpenLoopAndRepeatable(t *testing.T) {
	p, err := LoadProfile("cooperative")
	if err != nil {
		t.Fatal(err)
	}
	a := Schedule(p, 7, time.Minute, 1)
	b := Schedule(p, 7, time.Minute, 1)
	if len(a) != len(b) || a[len(a)/2] != b[len(b)/2] {
		t.Error("equal seeds gave different schedules, want equal ones")
	}
	want := 0.0
	for _, c := range p.Classes {
		want += c.Rate * 60
	}
	if got := float64(len(a)); got < want*0.9 || got > want*1.1 {
		t.Errorf("got %v arrivals in a minute, want %v within 10%%", got, want)
	}
	for i := 1; i < len(a); i++ {
		if a[i].At < a[i-1].At {
			t.Fatal("arrivals are out of order, want them sorted by time")
		}
	}
}

func TestInvalidProfilesAndScriptsAreRejected(t *testing.T) {
	for _, tc := range []struct{ name, profile, faults, want string }{
		{"unknown key", "[workspaces]\na=1\n[class:x]\nkind=call\nrate=1\nmethod=GET\npath=/p\nrat=2\n", "", "rat"},
		{"bad kind", "[workspaces]\na=1\n[class:x]\nkind=vote\nrate=1\n", "", "generation or call"},
		{"no rate", "[workspaces]\na=1\n[class:x]\nkind=call\nmethod=GET\npath=/p\n", "", "rate"},
		{"no class", "[workspaces]\na=1\n", "", "at least one"},
		{"unknown fault", "", "1s explode engine 3", "unknown fault"},
		{"bad pause", "", "1s pause engine 3 long", "long"},
		{"bad number", "", "1s kill vm x", "bad number"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			var err error
			if tc.faults != "" {
				_, err = ParseFaults(strings.NewReader(tc.faults))
			} else {
				_, err = parseProfile([]byte(tc.profile))
			}
			if err == nil || !strings.Contains(err.Error(), tc.want) {
				t.Errorf("got error %v, want one that contains %q", err, tc.want)
			}
		})
	}
}
