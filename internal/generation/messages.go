package generation

// Refusal says why a keeper refused a message.
type Refusal uint8

// Refusals.
const (
	Accepted            Refusal = iota
	HigherEpochPromised         // it has promised a higher epoch, shown in Promised
	NoPromise                   // it holds no promise of this epoch, or too old a one
	NeedsInstall                // it lacks the journal, or tokens before the span
	OtherIncarnation            // the message is for an earlier or later life of this VM
	Full                        // it takes no new journals
	VersionTooOld               // the epoch's membership version is no longer kept
	BreaksInvariant             // the write breaks an invariant
)

// Source is the attempt whose tokens end the journal: a new owner may attach to
// its stream instead of paying for the prompt and the journal again. From is
// the journal's length when the attempt began.
type Source struct {
	Backend string `cbor:"1,keyasint"`
	Addr    string `cbor:"2,keyasint"`
	Attempt string `cbor:"3,keyasint"`
	From    int    `cbor:"4,keyasint"`
	Number  int    `cbor:"5,keyasint"`           // grows within the owner's epochs
	Version string `cbor:"6,keyasint,omitempty"` // of the model, once known
}

// Write asks a keeper to hold tokens of a journal. With Install it replaces the
// journal whole and carries the request; every owner begins so, behind its
// promises. A write without tokens keeps the journal from being forgotten.
type Write struct {
	ID          RequestID `cbor:"1,keyasint"`
	Epoch       Epoch     `cbor:"2,keyasint"`
	Request     *Request  `cbor:"3,keyasint,omitempty"`
	Incarnation string    `cbor:"4,keyasint,omitempty"` // incarnation of the keeper meant
	Install     bool      `cbor:"5,keyasint,omitempty"`
	Span        Span      `cbor:"6,keyasint"`
	Finish      string    `cbor:"7,keyasint,omitempty"`
	Usage       Usage     `cbor:"8,keyasint,omitzero"`
	Reserve     bool      `cbor:"9,keyasint,omitempty"` // asks for a promise, and writes nothing
	Source      *Source   `cbor:"10,keyasint,omitempty"`
	Touch       uint64    `cbor:"11,keyasint,omitempty"` // echoed
}

// Size is about the write's size in bytes when it is encoded.
func (w *Write) Size() int {
	const head, perToken = 100, 10
	size := head + perToken*len(w.Span.Tokens)
	if w.Request != nil {
		size += len(w.Request.Prompt) + 5*len(w.Request.PromptIDs)
	}
	return size
}

// WriteReply answers a Write. Held, Finished and Source are what the keeper
// holds under the write's epoch.
type WriteReply struct {
	ID       RequestID `cbor:"1,keyasint"`
	Refusal  Refusal   `cbor:"2,keyasint,omitempty"`
	Held     int       `cbor:"3,keyasint"`
	Finished bool      `cbor:"4,keyasint,omitempty"`
	Promised Epoch     `cbor:"5,keyasint,omitzero"`
	Epoch    Epoch     `cbor:"6,keyasint"`
	Source   int       `cbor:"7,keyasint,omitempty"` // Number of the source
	Touch    uint64    `cbor:"8,keyasint,omitempty"`
	Reserved bool      `cbor:"9,keyasint,omitempty"`
}

// OK reports whether the write was accepted.
func (r *WriteReply) OK() bool { return r.Refusal == Accepted }

// Promise asks a keeper to refuse every epoch below Epoch and to show what it
// holds. With Peek it promises nothing and only shows who owns the journal; with
// IfAbsent it promises only where the keeper knows nothing of the journal, and
// is a Peek otherwise: a resend must not depose an owner that is well.
type Promise struct {
	ID    RequestID `cbor:"1,keyasint"`
	Epoch Epoch     `cbor:"2,keyasint"`
	Peek  bool      `cbor:"3,keyasint,omitempty"`

	IfAbsent    bool   `cbor:"4,keyasint,omitempty"`
	Incarnation string `cbor:"5,keyasint,omitempty"` // incarnation of the keeper meant
}

// PromiseReply answers a Promise. Accepted is the epoch of the last write; the
// journal comes with a promise, not with a Peek or a refusal.
type PromiseReply struct {
	OK       bool     `cbor:"1,keyasint"`
	Promised Epoch    `cbor:"2,keyasint"`
	Found    bool     `cbor:"3,keyasint"`
	Accepted Epoch    `cbor:"4,keyasint"`
	Request  *Request `cbor:"5,keyasint,omitempty"`
	Journal  Journal  `cbor:"6,keyasint"`
	Source   *Source  `cbor:"7,keyasint,omitempty"`
	Refusal  Refusal  `cbor:"8,keyasint,omitempty"`
}
