package forward

import (
	"slices"
	"sync"

	"github.com/cespare/xxhash/v2"
)

// The failure pattern is the death of one or several routers with the streams that they
// carry. Within milliseconds the callers come to other routers and ask for the events
// after their last one. The copies of those runs still exist, but only the dead router
// knew of them. Without that knowledge each prompt is prefilled again, for a second or
// more, although the engines are no busier than before.
//
// Routers therefore report where the copies of their streams are. A router that is asked
// for the rest of a stream that it does not know looks the stream up there first.
//
// A copy is kept for some seconds. If a VM loses power, its callers' connections hang,
// and the callers give them up many seconds later, all at once. The engines that
// prefilled their prompts mostly still hold these as cached prefixes then. A stream that
// is sent there is resumed without another prefill.

// ResumableRun is a stream in flight and what another router needs to resume it.
type ResumableRun struct {
	Identity uint64 `cbor:"1,keyasint"` // see request.identity
	Orphan
}

// Orphan is what remains of a run when its router is gone.
type Orphan struct {
	Copy          Copy   `cbor:"2,keyasint"`           // of the run's memory; empty: none
	PrefillEngine string `cbor:"3,keyasint,omitempty"` // address of the engine that prefilled the prompt
}

// runRegistry holds the runs that a router reports to the others. It is safe for
// concurrent use.
type runRegistry struct {
	mu   sync.Mutex
	runs map[string]ResumableRun // by request id
}

func (r *runRegistry) put(id string, run ResumableRun) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.runs == nil {
		r.runs = map[string]ResumableRun{}
	}
	r.runs[id] = run
}

func (r *runRegistry) drop(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.runs, id)
}

func (r *runRegistry) all() []ResumableRun {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := make([]ResumableRun, 0, len(r.runs))
	for _, k := range r.runs {
		out = append(out, k)
	}
	return out
}

// identity returns a hash that is the same for all attempts of a request. It covers
// everything but the headers that differ between attempts. Equal requests of two callers
// are distinguished by any other header. If nothing differs, neither can their answers
// be told apart, and the copies of both are left unused.
func (q *request) identity(perAttempt []string) uint64 {
	d := xxhash.New()
	_, _ = d.WriteString(q.outbound.Method + " " + q.outbound.URI + "\x00" + q.workspace + "\x00")
	names := make([]string, 0, len(q.outbound.Header))
	for name := range q.outbound.Header {
		if !slices.Contains(perAttempt, name) {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	for _, name := range names {
		for _, v := range q.outbound.Header[name] {
			_, _ = d.WriteString(name + ":" + v + "\x00")
		}
	}
	_, _ = d.Write(q.outbound.Body)
	return d.Sum64()
}
