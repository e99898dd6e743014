package rollout

import (
	"reflect"
	"slices"
	"testing"
	"time"
)

func change(service string, to Standing, versions ...string) StandingChange {
	return StandingChange{Service: service, Versions: versions, Standing: to}
}

// Guards against a version that loses its standing by an old or repeated change, and against
// standings that are lost with a restart.
func TestStandings(t *testing.T) {
	tests := []struct {
		name    string
		changes []StandingChange
		last    Outcome
		want    KnownVersions
	}{
		{"first versions", []StandingChange{change("desk", Admitted, "v1", "")}, Accepted, KnownVersions{"v1": Admitted, "": Admitted}},
		{"raised", []StandingChange{change("desk", Announced, "v2"), change("desk", InForce, "v2")}, Accepted, KnownVersions{"v2": InForce}},
		{"repeated", []StandingChange{change("desk", Announced, "v2"), change("desk", Announced, "v2")}, Repeated, KnownVersions{"v2": Announced}},
		{"late", []StandingChange{change("desk", Admitted, "v2"), change("desk", InForce, "v2")}, Repeated, KnownVersions{"v2": Admitted}},
		{"forgotten", []StandingChange{change("desk", Admitted, "v1", "v2"), change("desk", Forgotten, "v1")}, Accepted, KnownVersions{"v2": Admitted}},
		{"all forgotten", []StandingChange{change("desk", Admitted, "v1"), change("desk", Forgotten, "v1")}, Accepted, nil},
		{"of a later release", []StandingChange{change("desk", Admitted+1, "v1")}, Unreadable, nil},
		{"of another service", []StandingChange{change("desk", Admitted, "v1"), change("votes", Admitted, "v2")}, Accepted, KnownVersions{"v1": Admitted}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			m := NewStateMachine()
			var last Reply
			for i := range tt.changes {
				last = apply(t, m, 0, Command{Standing: &tt.changes[i]})
			}
			data, err := m.Snapshot()
			if err != nil {
				t.Fatal(err)
			}
			restored := NewStateMachine()
			if err := restored.Restore(data); err != nil {
				t.Fatal(err)
			}
			for _, s := range []State{m.State(), restored.State()} {
				if got := s.Known["desk"]; last.Outcome != tt.last || len(got) != len(tt.want) || len(got) > 0 && !reflect.DeepEqual(got, tt.want) {
					t.Errorf("got outcome %d, versions %v, want %d, %v", last.Outcome, got, tt.last, tt.want)
				}
			}
			if m.Version() != restored.Version() {
				t.Errorf("got version %d after a restart, want %d", restored.Version(), m.Version())
			}
		})
	}
}

// Guards against a version that gets requests before every VM knows it, or before the order of its
// roll-out can have come, and against engines that get none although nobody will order.
func TestVersionsAreAdmitted(t *testing.T) {
	const hold = 10 * time.Second
	type step struct {
		at     time.Duration
		listed []string
		want   []StandingChange
	}
	underWay := map[string]Record{"desk": {Order: toV2, Number: 1, Phase: Trial}}
	tests := []struct {
		name    string
		hold    time.Duration
		known   KnownVersions
		records map[string]Record
		steps   []step
	}{
		{"first versions", 0, nil, nil, []step{{0, []string{"v1", "v2"}, []StandingChange{change("desk", Admitted, "v1", "v2")}}}},
		{"first versions, one may be rolled out", hold, nil, nil, []step{{0, []string{"v1", "v2", "v2"}, []StandingChange{change("desk", Admitted, "v2")}}}},
		{"a further version", hold, KnownVersions{"v1": Admitted}, nil, []step{{0, []string{"v1", "v2"}, []StandingChange{change("desk", Announced, "v2")}}}},
		{"not known everywhere", 0, KnownVersions{"v1": Admitted, "v2": Announced}, nil, []step{{0, []string{"v1", "v2"}, nil}, {time.Minute, []string{"v1", "v2"}, nil}}},
		{"no roll-outs", 0, KnownVersions{"v1": Admitted, "v2": InForce}, nil, []step{{0, []string{"v1", "v2"}, []StandingChange{change("desk", Admitted, "v2")}}}},
		{"held for an order", hold, KnownVersions{"v1": Admitted, "v2": InForce}, nil, []step{
			{0, []string{"v1", "v2"}, nil}, {hold - time.Second, []string{"v1", "v2"}, nil}, {hold, []string{"v1", "v2"}, []StandingChange{change("desk", Admitted, "v2")}},
		}},
		{"ordered", hold, KnownVersions{"v1": Admitted, "v2": InForce}, underWay, []step{{0, []string{"v1", "v2"}, nil}, {time.Minute, []string{"v1", "v2"}, nil}}},
		{"another one ordered", hold, KnownVersions{"v1": Admitted, "v2": InForce, "v3": InForce}, underWay, []step{
			{0, []string{"v1", "v2", "v3"}, nil}, {time.Minute, []string{"v1", "v2", "v3"}, []StandingChange{change("desk", Admitted, "v3")}},
		}},
		{"the only one left", hold, KnownVersions{"v1": Admitted, "v2": InForce}, nil, []step{
			{0, []string{"v1", "v2"}, nil}, {time.Second / 2, []string{"v2"}, nil}, {2 * time.Second, []string{"v2"}, []StandingChange{change("desk", Admitted, "v2")}},
		}},
		{"forgotten", hold, KnownVersions{"v1": Admitted, "v0": Admitted}, nil, []step{
			{0, []string{"v1"}, nil}, {versionRetention - time.Second, []string{"v1"}, nil}, {versionRetention + time.Second, []string{"v1"}, []StandingChange{change("desk", Forgotten, "v0")}},
		}},
		{"back again in time", hold, KnownVersions{"v1": Admitted, "v0": Admitted}, nil, []step{
			{0, []string{"v1"}, nil}, {versionRetention - time.Second, []string{"v0", "v1"}, nil}, {versionRetention + time.Minute, []string{"v1"}, nil},
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			start := time.Unix(1000, 0)
			w := NewVersionWatch(tt.hold, start)
			s := &State{Records: tt.records, Known: map[string]KnownVersions{}}
			if tt.known != nil {
				s.Known["desk"] = tt.known
			}
			for _, step := range tt.steps {
				servers := map[string]int{}
				for _, version := range step.listed {
					servers[version]++
				}
				w.Observe(map[string]map[string]int{"desk": servers}, start.Add(step.at))
				got := w.Next(s, start.Add(step.at))
				if !slices.EqualFunc(got, step.want, func(a, b StandingChange) bool { return reflect.DeepEqual(a, b) }) {
					t.Errorf("after %v: got %v, want %v", step.at, got, step.want)
				}
			}
		})
	}
}

// Guards against requests at a version that is not admitted, and against a trial that begins
// before every VM knows the version.
func TestChooseAmongKnownVersions(t *testing.T) {
	known := map[string]KnownVersions{"desk": {"v1": Admitted, "v1.1": Admitted, "v2": Announced, "v3": InForce}}
	record := func(phase Phase, to string) map[string]Record {
		return map[string]Record{"desk": {Order: Order{Service: "desk", To: to, Duration: time.Minute}, Number: 1, Phase: phase, DefaultShare: 0.5}}
	}
	tests := []struct {
		name    string
		records map[string]Record
		draw    float64
		want    []string // of the known versions, those that may run the request
	}{
		{"no roll-out", nil, 0, []string{"v1", "v1.1"}},
		{"on trial", record(Trial, "v3"), 0, []string{"v3"}},
		{"beside a trial", record(Trial, "v3"), 0.9, []string{"v1", "v1.1"}},
		{"on trial, not known everywhere", record(Trial, "v2"), 0, []string{"v1", "v1.1"}},
		{"one of the versions is rolled out", record(Trial, "v1.1"), 0.9, []string{"v1"}},
		{"completed", record(Completed, "v3"), 0, []string{"v3"}},
		{"reverted", record(Reverted, "v3"), 0, []string{"v1", "v1.1"}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := &State{Records: tt.records, Known: known}
			c := s.Choose("desk", "book", tt.draw)
			got := c.Versions.Of(map[string]int{"v1": 1, "v1.1": 2, "v2": 3, "v3": 1})
			if !slices.Equal(got, tt.want) {
				t.Errorf("got %v, want %v", got, tt.want)
			}
		})
	}
}

// Guards against a version that is inferred although another one can have begun the stream.
func TestOnlyVersion(t *testing.T) {
	tests := []struct {
		name  string
		known KnownVersions
		want  string
		ok    bool
	}{
		{"one", KnownVersions{"v1": Admitted}, "v1", true},
		{"one without a name", KnownVersions{"": Admitted}, "", true},
		{"a second announced", KnownVersions{"v1": Admitted, "v2": Announced}, "", false},
		{"nothing known", nil, "", false},
	}
	for _, tt := range tests {
		s := &State{Known: map[string]KnownVersions{"desk": tt.known}}
		if got, ok := s.OnlyVersion("desk"); got != tt.want || ok != tt.ok || s.HasSeveralVersions("desk") == ok {
			t.Errorf("%s: got %q, %t, several: %t; want %q, %t", tt.name, got, ok, s.HasSeveralVersions("desk"), tt.want, tt.ok)
		}
	}
}
