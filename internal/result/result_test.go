package result_test

import (
	"encoding/json"
	"fmt"
	"os"
	"strings"
	"testing"

	"github.com/amaranthshelf/amaranthshelf/internal/result"
)

// Guards against codes that are missing on the page, are listed only there, or are
// described there in other words.
func TestDocsTableAgreesWithCode(t *testing.T) {
	page, err := os.ReadFile("../../docs/RESULT-CODES.md")
	if err != nil {
		t.Fatal(err)
	}
	var documented []string
	for line := range strings.Lines(string(page)) {
		if strings.HasPrefix(line, "| 1") || strings.HasPrefix(line, "| 2") || strings.HasPrefix(line, "| 3") ||
			strings.HasPrefix(line, "| 4") || strings.HasPrefix(line, "| 5") {
			documented = append(documented, strings.TrimSpace(line))
		}
	}
	var coded []string
	for _, r := range result.Table {
		coded = append(coded, fmt.Sprintf("| %d | %s | %d | %s | %s |", r.Code, r.Name, r.Status, r.Ran, r.Message))
	}
	if got, want := strings.Join(documented, "\n"), strings.Join(coded, "\n"); got != want {
		t.Errorf("got rows in docs/RESULT-CODES.md:\n%s\nwant those of Table:\n%s", got, want)
	}
}

func TestCodesAndNamesAreUnique(t *testing.T) {
	names := map[string]bool{}
	codes := map[result.Code]bool{}
	for _, r := range result.Table {
		if names[r.Name] || codes[r.Code] {
			t.Errorf("got code %d or name %s twice in Table, want both unique", r.Code, r.Name)
		}
		names[r.Name], codes[r.Code] = true, true
	}
}

func TestErrorRoundTrip(t *testing.T) {
	in := result.Newf(result.QueueFull, "full")
	in.RequestID = "r1"
	data, err := json.Marshal(in)
	if err != nil {
		t.Fatal(err)
	}
	var out result.Error
	if err := json.Unmarshal(data, &out); err != nil {
		t.Fatal(err)
	}
	if out != *in {
		t.Errorf("got %+v, want %+v", out, *in)
	}
}
