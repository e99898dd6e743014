package routes

import (
	"errors"
	"strings"
	"testing"
	"time"

	"github.com/amaranthshelf/amaranthshelf/internal/codec"
	"github.com/amaranthshelf/amaranthshelf/internal/result"
)

// validList returns a list that passes every check.
func validList(version uint64) *List {
	return &List{
		Version: version,
		Routes: []Route{
			{Name: "all", Host: "h", Prefix: "/", Timeout: time.Second, Targets: []Target{{"s", 1}}},
			{Name: "deep", Host: "h", Prefix: "/a/", Timeout: time.Second, Targets: []Target{{"s", 9}, {"t", 1}}},
		},
		Services:   []Service{{Name: "s"}, {Name: "t"}},
		Workspaces: []Workspace{{Name: "nelson", Keys: []string{"k1", "k2"}}, {Name: "rupert", Keys: []string{"k3"}}},
		Source:     []byte("text of the operator"),
	}
}

func TestValidate(t *testing.T) {
	tests := []struct {
		name   string
		change func(*List)
		names  string // what the error must name; empty: no error
	}{
		{"valid", func(*List) {}, ""},
		{"no version", func(l *List) { l.Version = 0 }, "version"},
		{"no timeout", func(l *List) { l.Routes[1].Timeout = 0 }, "deep"},
		{"unknown service", func(l *List) { l.Routes[1].Targets[1].Service = "u" }, `"u"`},
		{"same host and prefix twice", func(l *List) { l.Routes[1].Prefix = "/" }, "deep"},
		{"weights add up to 0", func(l *List) { l.Routes[0].Targets[0].Weight = 0 }, "all"},
		{"no targets", func(l *List) { l.Routes[0].Targets = nil }, "all"},
		{"negative weight", func(l *List) { l.Routes[1].Targets[1].Weight = -1 }, "deep"},
		{"shared key", func(l *List) { l.Workspaces[1].Keys = []string{"k2"} }, "rupert"},
		{"service twice", func(l *List) { l.Services[1].Name = "s" }, "service"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			l := validList(1)
			tt.change(l)
			err := l.Validate()
			switch {
			case tt.names == "" && err != nil:
				t.Error(err)
			case tt.names == "":
			case !errors.Is(err, result.New(result.InvalidRouteList)) || !strings.Contains(err.Error(), tt.names):
				t.Errorf("got error %v, want one that names %s", err, tt.names)
			}
		})
	}
}

func TestMatch(t *testing.T) {
	table := NewTable(validList(1))
	tests := []struct{ host, path, want string }{
		{"h", "/", "all"},
		{"h", "/b/c", "all"},
		{"h", "/a/c", "deep"},
		{"H:8080", "/a/", "deep"},
		{"h", "/a", "all"}, // a prefix ends with its slash
		{"other", "/a/", ""},
	}
	for _, tt := range tests {
		got := ""
		if r := table.Match(tt.host, tt.path); r != nil {
			got = r.Name
		}
		if got != tt.want {
			t.Errorf("%s%s matches route %q, want %q", tt.host, tt.path, got, tt.want)
		}
	}
	if w := table.WorkspaceByKey("k2"); w == nil || w.Name != "nelson" {
		t.Errorf("key k2 belongs to %v, want workspace nelson", w)
	}
}

func TestPickByWeight(t *testing.T) {
	r := validList(1).Routes[1]
	count := map[string]int{}
	for n := range 10 {
		count[r.Pick(func(int) int { return n })]++
	}
	if count["s"] != 9 || count["t"] != 1 {
		t.Errorf("got picks %v, want s 9 times and t once", count)
	}
}

// Operators race: a list may arrive twice, late, or with the version of another list. An
// accepted list must stay, and no operator may be told that a list is in force that is not.
func TestStateMachineOutcomes(t *testing.T) {
	other := validList(2)
	other.Source = []byte("another operator's text")
	steps := []struct {
		name    string
		list    *List
		outcome Outcome
		held    uint64
	}{
		{"first", validList(2), Accepted, 2},
		{"retried", validList(2), Unchanged, 2},
		{"other content, same version", other, Conflict, 2},
		{"higher", validList(5), Accepted, 5},
		{"late, lower", validList(2), Superseded, 5},
	}
	p := NewStateMachine()
	for _, s := range steps {
		data, err := codec.Marshal(s.list)
		if err != nil {
			t.Fatal(err)
		}
		var r Reply
		if err := codec.Unmarshal(p.Apply(0, data), &r); err != nil {
			t.Fatal(err)
		}
		if r.Outcome != s.outcome || r.Version != s.held {
			t.Errorf("%s: got outcome %d, version %d; want those of the step", s.name, r.Outcome, r.Version)
		}
	}
	if string(p.List().Source) != string(validList(5).Source) {
		t.Error("the operator's text differs from the text that was sent")
	}
}

func TestStateMachineSnapshot(t *testing.T) {
	p := NewStateMachine()
	p.replace(*validList(3))
	data, err := p.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	q := NewStateMachine()
	if err := q.Restore(data); err != nil {
		t.Fatal(err)
	}
	if q.Version() != 3 || string(q.List().Source) != string(p.List().Source) {
		t.Errorf("restored version %d, want 3 with the operator's text", q.Version())
	}
	var sent List
	if err := codec.Unmarshal(q.Changes(0), &sent); err != nil || sent.Source != nil || len(sent.Routes) != 2 {
		t.Errorf("watchers get %d routes, %d bytes of text and error %v; want 2 routes, no text and no error", len(sent.Routes), len(sent.Source), err)
	}
	if q.Apply(0, []byte{0xff}); q.Version() != 3 {
		t.Error("a command that cannot be decoded changed the list")
	}
}
