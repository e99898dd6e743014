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

// Line is one log line of a VM. Fields holds all fields except the time, the level, the VM
// and the message.
type Line struct {
	At      time.Time
	VM      string
	Message string
	Fields  map[string]any
}

// Explanation holds what collected logs contain about one request.
type Explanation struct {
	Lines []Line // lines of the request, ordered by time
	// Nearby holds lines about the request's servers that were written within
	// nearbyWindow of its own lines.
	Nearby []Line `json:"Around"`
	Cause  string // outcome of the request and its reason, in one sentence
}

// maxLineBytes is the maximum length of a log line.
const maxLineBytes = 1 << 20

// nearbyWindow is the maximum distance of lines about a request's servers from the first
// and the last line of the request.
const nearbyWindow = 3 * time.Second

// FromLogs reads the log lines of any number of VMs and explains one request. Lines that
// are not JSON are ignored; a prefix before the JSON is allowed.
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
		if l.text("request") == "" && s.isNearby(l, servers) {
			s.Nearby = append(s.Nearby, l)
		}
	}
	s.Cause = s.cause()
	return s, nil
}

func readLines(r io.Reader) ([]Line, error) {
	var out []Line
	scan := bufio.NewScanner(r)
	scan.Buffer(nil, maxLineBytes)
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

// text returns the value of a text field, or "".
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

func (s *Explanation) isNearby(l Line, servers map[string]bool) bool {
	if len(s.Lines) == 0 || l.text("server") == "" || !servers[l.text("server")] {
		return false
	}
	first, last := s.Lines[0].At, s.Lines[len(s.Lines)-1].At
	return l.At.After(first.Add(-nearbyWindow)) && l.At.Before(last.Add(nearbyWindow))
}

// cause describes the last decision and the failure that led to it in one sentence.
func (s *Explanation) cause() string {
	if len(s.Lines) == 0 {
		return "no line names this request: it did not reach a router, or it went well while ordinary lines were left out"
	}
	for i := len(s.Lines) - 1; i >= 0; i-- {
		l := s.Lines[i]
		switch l.Message {
		case "gave up":
			code := result.Lookup(result.Code(l.number("code")))
			return fmt.Sprintf("refused with %d %s (%s) after %d arrivals at servers%s", code.Code, code.Name, code.Message, l.number("sends"), s.lossBefore(i))
		case "reconnect refused":
			code := result.Lookup(result.Code(l.number("code")))
			return fmt.Sprintf("refused with %d %s (%s): it named %q as the attempt that began its stream", code.Code, code.Name, code.Message, l.text("first_attempt"))
		case "stream broken off":
			return fmt.Sprintf("broken off behind event %d (%s)%s", l.number("last_event"), l.text("reason"), s.lossBefore(i))
		case "stream went on", "stream began", "call sent":
			return "served" + s.lossBefore(i+1)
		}
	}
	return "under way"
}

// lossBefore describes the last lost run or unsuccessful send before line i, or returns "".
func (s *Explanation) lossBefore(i int) string {
	for i--; i >= 0; i-- {
		l := s.Lines[i]
		switch {
		case l.Message == "run lost":
			return fmt.Sprintf("; its run on %s was lost: %s", l.text("engine"), l.text("reason"))
		case l.Message == "call sent" && l.text("sent") != "answered":
			loss := fmt.Sprintf("; %s: %s %s", l.text("server"), l.text("sent"), l.text("fault"))
			if cause := l.text("cause"); cause != "" {
				loss += ": " + cause
			}
			return loss
		}
	}
	return ""
}
