package engine

import "testing"

// FuzzDeliver checks that an event from an engine is passed on whole or is an
// error, and that the end is told only by a finish event.
func FuzzDeliver(f *testing.F) {
	f.Add(`{"attempt":"a","index":1,"token_ids":[5],"texts":[" x"]}`)
	f.Add(`{"attempt":"a","index":2,"token_ids":[],"texts":[],"finish_reason":"length"}`)
	f.Add(`[DONE]`)
	f.Add(`{"token_ids":[1,2],"texts":[]}`)
	f.Fuzz(func(t *testing.T, data string) {
		var got *Event
		finished, err := deliver(data, func(e Event) error {
			got = &e
			return nil
		})
		if err != nil && finished {
			t.Errorf("%q: an error and a finish", data)
		}
		if finished && (got == nil || got.Finish == "") {
			t.Errorf("%q: finished without a finish event", data)
		}
		if got != nil && len(got.Texts) != len(got.TokenIDs) {
			t.Errorf("%q: delivered with %d texts for %d tokens", data, len(got.Texts), len(got.TokenIDs))
		}
	})
}
