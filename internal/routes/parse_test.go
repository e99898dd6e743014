package routes

import (
	"errors"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/amaranthshelf/amaranthshelf/internal/result"
)

func TestParseExample(t *testing.T) {
	data, err := os.ReadFile("../../examples/routed/routes.json")
	if err != nil {
		t.Fatal(err)
	}
	l, err := Parse(data)
	if err != nil {
		t.Fatal(err)
	}
	r := l.Routes[0]
	if l.Version != 1 || !l.Keyed || r.Kind != Stream || r.PauseObjective != 700*time.Millisecond || l.Services[0].Engine.CopyLife != 4*time.Second {
		t.Errorf("got %+v, want the list of the example", l)
	}
	for name, text := range map[string]string{
		"misspelled field": strings.Replace(string(data), "timeout_ms", "time_out", 1),
		"unknown kind":     strings.Replace(string(data), `"stream"`, `"flow"`, 1),
		"truncated":        string(data[:len(data)/2]),
		"trailing data":    string(data) + "{}",
		"no timeout":       strings.Replace(string(data), "25000", "0", 1),
	} {
		if _, err := Parse([]byte(text)); !errors.Is(err, result.New(result.InvalidRouteList)) {
			t.Errorf("%s: got error %v, want InvalidRouteList", name, err)
		}
	}
}

func FuzzParse(f *testing.F) {
	f.Add(`{"version":1,"routes":[{"name":"r","host":"h","prefix":"/","kind":"once","timeout_ms":1,"targets":[{"service":"s","weight":1}]}],"services":[{"name":"s"}]}`)
	f.Fuzz(func(t *testing.T, text string) {
		if l, err := Parse([]byte(text)); err == nil && l.Validate() != nil {
			t.Errorf("an invalid list was accepted: %s", text)
		}
	})
}
