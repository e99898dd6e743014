package forward

import (
	"slices"
	"sync"

	"github.com/cespare/xxhash/v2"
)

// The load pattern. A router dies with the streams that it carries, or several do
// at once. Their callers come to other routers within milliseconds and ask for the
// rest behind their last event. The engines' copies of those runs are still there,
// but only the dead router knew of them: each prompt is read anew, for a second
// and more, by engines that are no busier than before.
//
// So routers tell where copies of their streams are kept, and a router that is
// asked for the rest of a stream it does not know looks there first.
//
// A copy is kept for some seconds. A caller whose connection hangs, since the VM lost
// power, gives it up after many more, and all of them come for the rest at once. The
// engines that read their prompts then mostly still hold these as cached prefixes: sent
// there, nothing is read anew.

// Kept is a stream under way, and what of it is of use once its router is gone.
type ResumableRun struct {
	Identity uint64 `cbor:"1,keyasint"` // of the request, without what is new in each attempt
	Orphan
}

// Left is what a stream leaves behind.
type Orphan struct {
	Copy          Copy   `cbor:"2,keyasint"`           // of its memory; empty: none
	PrefillEngine string `cbor:"3,keyasint,omitempty"` // address of the engine that has read its prompt
}

// keptBook is what a router tells the others. Safe for concurrent use.
type keptBook struct {
	mu   sync.Mutex
	runs map[string]ResumableRun // by request id
}

func (b *keptBook) put(id string, k ResumableRun) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.runs == nil {
		b.runs = map[string]ResumableRun{}
	}
	b.runs[id] = k
}

func (b *keptBook) drop(id string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.runs, id)
}

func (b *keptBook) all() []ResumableRun {
	b.mu.Lock()
	defer b.mu.Unlock()
	out := make([]ResumableRun, 0, len(b.runs))
	for _, k := range b.runs {
		out = append(out, k)
	}
	return out
}

// identity names a request over all attempts of its caller: everything but the
// headers that differ between two attempts. Two callers who ask for the same are
// told apart by whatever differs in their headers; where nothing does, nobody can
// tell their answers apart either, and copies of both are not used.
func (q *request) identity(perAttempt []string) uint64 {
	d := xxhash.New()
	_, _ = d.WriteString(q.out.Method + " " + q.out.URI + "\x00" + q.workspace + "\x00")
	names := make([]string, 0, len(q.out.Header))
	for name := range q.out.Header {
		if !slices.Contains(perAttempt, name) {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	for _, name := range names {
		for _, v := range q.out.Header[name] {
			_, _ = d.WriteString(name + ":" + v + "\x00")
		}
	}
	_, _ = d.Write(q.out.Body)
	return d.Sum64()
}
