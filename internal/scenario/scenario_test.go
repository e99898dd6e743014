package scenario_test

import (
	"testing"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/amaranthshelf/amaranthshelf/internal/scenario"
)

type key struct{}

// Runs the scripts in testdata, which state what callers must receive. Time is virtual
// and seeds are fixed, which makes the results reproducible.
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
				ts.Fatalf("%s: got no error, want one: %s", name, text)
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
