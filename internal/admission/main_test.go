package admission

import (
	"flag"
	"os"
	"testing"
)

// The seed is fixed to make CI results reproducible.
func TestMain(m *testing.M) {
	flag.Parse()
	if err := flag.Set("rapid.seed", "20261202"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}
