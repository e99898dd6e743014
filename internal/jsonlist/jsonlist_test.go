package jsonlist

import (
	"strings"
	"testing"
)

// Guards against an entry that is no JSON, or nested too deeply to be read, and hides the others.
func TestReplaceUnreadable(t *testing.T) {
	deep := strings.Repeat("[", 10_001) + strings.Repeat("]", 10_001)
	for entry, want := range map[string]string{
		`{"a":[1,{"b":"],"}]}`: `{"a":[1,{"b":"],"}]}`, `"\"]"`: `"\"]"`, "1e400": "1e400",
		"x": "null", "": "null", "{]}": "null", "\"\xff\"": "null", deep: "null",
	} {
		document := func(entry string) string {
			return `{"vms":[1,` + entry + `],"in":{"x":[` + "\x01" + `]},"backends":[` + entry + `,2]}`
		}
		if got := string(ReplaceUnreadable([]byte(document(entry)))); got != document(want) {
			t.Errorf("entry %.40q: got %.100q, want %.100q", entry, got, document(want))
		}
	}
	for _, entry := range []string{`"`, "{", "[", `{"a":"b}`} {
		if got := ReplaceUnreadable([]byte(`{"vms":[` + entry + `]}`)); got != nil {
			t.Errorf("entry %q: got %q, want nothing: where it ends is not known", entry, got)
		}
	}
}
