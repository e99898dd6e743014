package engine

import "testing"

// FuzzDeliver checks that an event from an engine is either delivered complete or reported as
// an error, and that only a finish event ends the stream.
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
			t.Errorf("%q: deliver returned an error and finished, want only one of them", data)
		}
		if finished && (got == nil || got.Finish == "") {
			t.Errorf("%q: deliver returned finished without a finish event", data)
		}
		if got != nil && len(got.Texts) != len(got.TokenIDs) {
			t.Errorf("%q: delivered event has %d texts for %d tokens", data, len(got.Texts), len(got.TokenIDs))
		}
	})
}
