package gateway

import (
	"bytes"
	"testing"

	"github.com/amaranthshelf/amaranthshelf/internal/result"
)

// FuzzParseEventID checks that what is accepted is the one form of its event,
// and that all else has its own code.
func FuzzParseEventID(f *testing.F) {
	for _, seed := range []string{"r/1/0000000000000000", "r/1", "r/-1/0000000000000000", "a/b/c/d", "r/01/00000000000000AF", ""} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, s string) {
		id, err := ParseEventID(s)
		if err != nil {
			if result.CodeOf(err) != result.BadLastEventID {
				t.Errorf("%q: code %d", s, result.CodeOf(err))
			}
			return
		}
		if again, err := ParseEventID(id.String()); err != nil || again != id {
			t.Errorf("%q: read as %+v, then %+v, %v", s, id, again, err)
		}
	})
}

// FuzzReadCompletion checks that every body is either valid or has a code that
// promises that nothing ran.
func FuzzReadCompletion(f *testing.F) {
	for _, seed := range []string{
		`{"model":"m","prompt":"p","max_tokens":1}`, `{"model":"m","prompt_token_ids":[1,-2],"max_tokens":1}`,
		`{}`, `[`, `{"model":"m","prompt":"p","max_tokens":1e99}`, `{"model":"m","prompt":"p","max_tokens":1,"deadline_ms":-1}`,
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		body, err := readCompletion(bytes.NewReader(data))
		if err != nil {
			if e := result.From(err); e.Code >= 2000 || e.Ran != result.RanNo {
				t.Errorf("%q: code %d, ran %s", data, e.Code, e.Ran)
			}
			return
		}
		if body.MaxTokens < 1 || body.Model == "" || (body.Prompt == "") == (len(body.PromptIDs) == 0) {
			t.Errorf("%q: accepted as %+v", data, body)
		}
	})
}
