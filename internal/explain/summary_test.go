package explain

import (
	"fmt"
	"io"
	"strings"
	"testing"
)

// Guards against requests that are counted under a wrong reason, or more than once. The
// cases are the log lines that routers write for each outcome.
func TestSummary(t *testing.T) {
	placed := `"message":"stream placed","send":1,"from_copy":false,"tokens":8600`
	again := `"message":"stream placed","send":2,"from_copy":false,"tokens":8600`
	fromCopy := `"message":"stream placed","send":2,"from_copy":true,"tokens":8600`
	ended := func(outcome string, first, pause, waited int) string {
		return fmt.Sprintf(`"message":"stream ended","outcome":%q,"first_event":%d,"longest_pause":%d,"waited":%d,"objective":4500,"pause_objective":700,"rest_only":false`,
			outcome, first, pause, waited)
	}
	lost := func(passed int) string { return fmt.Sprintf(`"message":"run lost","passed":%d`, passed) }
	sent := func(what string, status int) string {
		return fmt.Sprintf(`"message":"call sent","sent":%q,"status":%d`, what, status)
	}
	tests := []struct {
		want       string
		recomputed int
		lines      []string
	}{
		{completedInTime, 0, []string{placed, ended("whole", 1400, 130, 0)}},
		{completedInTime, 0, []string{placed, lost(40), fromCopy, `"message":"stream went on","from_copy":true`, ended("whole", 1400, 480, 0)}},
		{noEndLogged, 0, []string{placed}},
		{restOnly, 0, []string{placed, strings.Replace(ended("whole", 100, 30, 0), "false", "true", 1)}},
		{lateQueued, 0, []string{placed, ended("whole", 7000, 130, 5200)}},
		{lateRecomputed, 8600, []string{placed, lost(0), again, ended("whole", 5000, 130, 0)}},
		{latePrefill, 0, []string{placed, ended("whole", 8000, 130, 10)}},
		{pausedRecomputed, 8600, []string{placed, lost(3), again, `"message":"stream went on","from_copy":false`, ended("whole", 1400, 2400, 0)}},
		{pausedCopy, 0, []string{placed, lost(3), fromCopy, `"message":"stream went on","from_copy":true`, ended("whole", 1400, 900, 0)}},
		{pausedNoResume, 0, []string{placed, ended("whole", 1400, 2400, 0)}},
		{"not whole: deadline_too_soon", 0, []string{`"message":"gave up","code":3002`, ended("deadline_too_soon", 0, 0, 900)}},
		{"3024 stream_version_unknown", 0, []string{`"message":"reconnect refused","code":3024`}},
		{"answered", 0, []string{sent("answered", 200)}},
		{"answered after a further send", 0, []string{sent("unknown", 0), sent("answered", 200)}},
		{"the server's own failure", 0, []string{sent("answered", 500), sent("answered", 500)}},
		{"3002 deadline_too_soon", 0, []string{`"message":"gave up","code":3002`}},
	}
	for _, tt := range tests {
		t.Run(tt.want, func(t *testing.T) {
			var log strings.Builder
			for i, l := range tt.lines {
				fmt.Fprintf(&log, `r1 {"vm":"r1","time":"2026-01-01T00:00:%02dZ","request":"q",%s}`+"\n", i, l)
			}
			summary, err := Summarize([]io.Reader{strings.NewReader("not json\n" + log.String())})
			if err != nil {
				t.Fatal(err)
			}
			rows := append(summary.Streams, summary.Calls...)
			if len(rows) != 1 || rows[0].Reason != tt.want || rows[0].Count != 1 || summary.RecomputedTokens != tt.recomputed {
				t.Errorf("got summary %+v, want one request under the expected reason", summary)
			}
		})
	}
}
