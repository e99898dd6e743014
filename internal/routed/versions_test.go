package routed

import (
	"errors"
	"reflect"
	"testing"
	"time"

	"github.com/amaranthshelf/amaranthshelf/internal/rollout"
)

// Guards against a further version that is taken for one of the first, and used before every VM knows
// it: a new leader decides before it has applied the whole log.
func TestNewLeaderDecidesByTheWholeLog(t *testing.T) {
	v1 := rollout.KnownVersions{"v1": rollout.Admitted}
	for _, tt := range []struct {
		name            string
		applied, inLog  rollout.KnownVersions
		unreachable     bool
		want, announced []rollout.StandingChange
	}{
		{name: "a further version", inLog: v1, want: []rollout.StandingChange{{Service: "models", Versions: []string{"v2"}, Standing: rollout.Announced}}},
		{name: "no majority", inLog: v1, unreachable: true},
		{name: "first versions", want: []rollout.StandingChange{{Service: "models", Versions: []string{"v1", "v2"}, Standing: rollout.Admitted}}},
		{
			name: "announced", applied: v1, inLog: rollout.KnownVersions{"v1": rollout.Admitted, "v2": rollout.Announced},
			announced: []rollout.StandingChange{{Service: "models", Versions: []string{"v2"}, Standing: rollout.InForce}},
		},
		{name: "nothing to do", applied: rollout.KnownVersions{"v1": rollout.Admitted, "v2": rollout.Admitted}, unreachable: true},
	} {
		t.Run(tt.name, func(t *testing.T) {
			now := time.Unix(1000, 0)
			w := &versionWatcher{watch: rollout.NewVersionWatch(0, now)}
			w.watch.Observe(map[string]map[string]int{"models": {"v1": 2, "v2": 2}}, now)
			known := tt.applied
			read := func() (rollout.State, uint64) {
				return rollout.State{Known: map[string]rollout.KnownVersions{"models": known}}, uint64(len(known))
			}
			changes, announced, version := w.due(read, func() error {
				if tt.unreachable {
					return errors.New("no leader")
				}
				known = tt.inLog
				return nil
			}, now)
			if !equalChanges(changes, tt.want) || !equalChanges(announced, tt.announced) || len(announced) > 0 && version != uint64(len(tt.inLog)) {
				t.Errorf("got changes %v, announced %v of version %d; want %v, %v", changes, announced, version, tt.want, tt.announced)
			}
		})
	}
}

func equalChanges(a, b []rollout.StandingChange) bool {
	return len(a) == 0 && len(b) == 0 || reflect.DeepEqual(a, b)
}
