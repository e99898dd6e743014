package scenario_test

import (
	"testing"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/amaranthshelf/amaranthshelf/internal/scenario"
)

type key struct{}

// Each script under testdata tells what callers must receive. Time is virtual
// and seeds are pinned: the verdict is the same every run.
func TestScenarios(t *testing.T) {
	if testing.Short() {
		t.Skip("minutes of virtual load")
	}
	commands := map[string]func(*testscript.TestScript, bool, []string){}
	for _, name := range scenario.Commands {
		commands[name] = func(ts *testscript.TestScript, neg bool, args []string) {
			text, err := ts.Value(key{}).(*scenario.Script).Do(name, args)
			switch {
			case neg && err == nil:
				ts.Fatalf("%s: holds, but must not: %s", name, text)
			case !neg && err != nil:
				ts.Fatalf("%s: %v", name, err)
			case text != "":
				ts.Logf("%s", text)
			}
		}
	}
	testscript.Run(t, testscript.Params{
		Dir:  "testdata",
		Cmds: commands,
		Setup: func(e *testscript.Env) error {
			e.Values[key{}] = scenario.New()
			return nil
		},
	})
}
