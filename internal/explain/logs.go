package explain

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"

	"github.com/amaranthshelf/amaranthshelf/internal/result"
)

// Line is one log line of a VM.
type Line struct {
	At      time.Time
	VM      string
	Message string
	Fields  map[string]any
}

// Story is what collected logs say of one request.
type Explanation struct {
	Lines []Line // of the request, in order of time
	// Around are lines about the servers that it was sent to, near in time.
	Nearby []Line
	Cause  string // what became of it and why, in a sentence
}

// maxLine bounds a log line.
const maxLine = 1 << 20

// near is how far from a request's own lines those about its servers count.
const near = 3 * time.Second

// FromLogs reads log lines of any number of VMs and tells a request's story.
// Lines that are no JSON are passed over; a prefix before the JSON is allowed.
func FromLogs(logs []io.Reader, request string) (Explanation, error) {
	var all []Line
	for _, r := range logs {
		lines, err := readLines(r)
		if err != nil {
			return Explanation{}, err
		}
		all = append(all, lines...)
	}
	slices.SortStableFunc(all, func(a, b Line) int { return a.At.Compare(b.At) })
	var s Explanation
	servers := map[string]bool{}
	for _, l := range all {
		if l.text("request") != request {
			continue
		}
		s.Lines = append(s.Lines, l)
		for _, field := range []string{"engine", "server", "keeper"} {
			servers[l.text(field)] = true
		}
	}
	for _, l := range all {
		if l.text("request") == "" && s.concerns(l, servers) {
			s.Nearby = append(s.Nearby, l)
		}
	}
	s.Cause = s.cause()
	return s, nil
}

func readLines(r io.Reader) ([]Line, error) {
	var out []Line
	scan := bufio.NewScanner(r)
	scan.Buffer(nil, maxLine)
	for scan.Scan() {
		if l, ok := parseLine(scan.Bytes()); ok {
			out = append(out, l)
		}
	}
	return out, scan.Err()
}

func parseLine(text []byte) (Line, bool) {
	start := bytes.IndexByte(text, '{')
	if start < 0 {
		return Line{}, false
	}
	l := Line{}
	if json.Unmarshal(text[start:], &l.Fields) != nil {
		return Line{}, false
	}
	l.VM, l.Message = l.text("vm"), l.text("message")
	at, err := time.Parse(time.RFC3339Nano, l.text("time"))
	l.At = at
	for _, name := range []string{"vm", "message", "time", "level"} {
		delete(l.Fields, name)
	}
	return l, err == nil && l.Message != ""
}

// text is a field as text, or "".
func (l *Line) text(field string) string {
	s, _ := l.Fields[field].(string)
	return s
}

func (l *Line) number(field string) int {
	n, _ := l.Fields[field].(float64)
	return int(n)
}

// String implements fmt.Stringer.
func (l *Line) String() string {
	names := make([]string, 0, len(l.Fields))
	for name := range l.Fields {
		names = append(names, name)
	}
	slices.Sort(names)
	var b strings.Builder
	fmt.Fprintf(&b, "%s  %-24s %s", l.At.Format("15:04:05.000"), l.VM, l.Message)
	for _, name := range names {
		fmt.Fprintf(&b, " %s=%v", name, l.Fields[name])
	}
	return b.String()
}

func (s *Explanation) concerns(l Line, servers map[string]bool) bool {
	if len(s.Lines) == 0 || l.text("server") == "" || !servers[l.text("server")] {
		return false
	}
	first, last := s.Lines[0].At, s.Lines[len(s.Lines)-1].At
	return l.At.After(first.Add(-near)) && l.At.Before(last.Add(near))
}

// cause puts the last decision and what led to it into a sentence.
func (s *Explanation) cause() string {
	if len(s.Lines) == 0 {
		return "no line names this request: it did not reach a router, or it went well while ordinary lines were left out"
	}
	for i := len(s.Lines) - 1; i >= 0; i-- {
		l := s.Lines[i]
		switch l.Message {
		case "gave up":
			code := result.Lookup(result.Code(l.number("code")))
			return fmt.Sprintf("refused with %d %s (%s) after %d arrivals at servers%s", code.Code, code.Name, code.Message, l.number("sends"), s.before(i))
		case "stream broken off":
			return fmt.Sprintf("broken off behind event %d (%s)%s", l.number("last_event"), l.text("reason"), s.before(i))
		case "stream went on", "stream began", "call sent":
			return "served" + s.before(i+1)
		}
	}
	return "under way"
}

// before tells the last loss or unsuccessful send ahead of line i.
func (s *Explanation) before(i int) string {
	for i--; i >= 0; i-- {
		l := s.Lines[i]
		switch {
		case l.Message == "run lost":
			return fmt.Sprintf("; its run on %s was lost: %s", l.text("engine"), l.text("reason"))
		case l.Message == "call sent" && l.text("sent") != "answered":
			return fmt.Sprintf("; %s: %s %s", l.text("server"), l.text("sent"), l.text("fault"))
		}
	}
	return ""
}
