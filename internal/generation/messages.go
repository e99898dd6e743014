package generation

// Refusal is the reason why a keeper refused a message.
type Refusal uint8

// The refusals. The numbers are part of the messages between VMs.
const (
	Accepted            Refusal = iota
	HigherEpochPromised         // the keeper has promised a higher epoch, given in Promised
	NoPromise                   // the keeper has no promise for this epoch, or it has expired
	NeedsInstall                // the keeper lacks the journal or tokens before the span
	OtherIncarnation            // the message is for another incarnation of this VM
	Full                        // the keeper accepts no new journals
	VersionTooOld               // the epoch's membership version is no longer retained
	BreaksInvariant             // the write would break an invariant
)

// Source is the attempt that generated the last tokens of the journal. A new
// owner may attach to its stream, which saves a second prefill of the prompt and
// the journal. From is the journal's length when the attempt began.
type Source struct {
	Backend string `cbor:"1,keyasint"`
	Addr    string `cbor:"2,keyasint"`
	Attempt string `cbor:"3,keyasint"`
	From    int    `cbor:"4,keyasint"`
	Number  int    `cbor:"5,keyasint"`           // increases within the owner's epochs
	Version string `cbor:"6,keyasint,omitempty"` // of the model, once known
}

// Write asks a keeper to store tokens of a journal. With Install it replaces the
// complete journal and carries the request; this is the first write of every
// owner after it has collected its promises. A write without tokens keeps the
// journal from expiring.
type Write struct {
	ID          RequestID `cbor:"1,keyasint"`
	Epoch       Epoch     `cbor:"2,keyasint"`
	Request     *Request  `cbor:"3,keyasint,omitempty"`
	Incarnation string    `cbor:"4,keyasint,omitempty"` // incarnation of the addressed keeper
	Install     bool      `cbor:"5,keyasint,omitempty"`
	Span        Span      `cbor:"6,keyasint"`
	Finish      string    `cbor:"7,keyasint,omitempty"`
	Usage       Usage     `cbor:"8,keyasint,omitzero"`
	Reserve     bool      `cbor:"9,keyasint,omitempty"` // asks for a promise and writes nothing
	Source      *Source   `cbor:"10,keyasint,omitempty"`
	Touch       uint64    `cbor:"11,keyasint,omitempty"` // echoed in the reply
}

// Size returns the approximate size in bytes of the encoded write.
func (w *Write) Size() int {
	const head, perToken = 100, 10
	size := head + perToken*len(w.Span.Tokens)
	if w.Request != nil {
		size += len(w.Request.Prompt) + 5*len(w.Request.PromptIDs)
	}
	return size
}

// WriteReply is the reply to a Write. Held (a number of tokens), Finished and
// Source describe what the keeper holds under the write's epoch.
type WriteReply struct {
	ID       RequestID `cbor:"1,keyasint"`
	Refusal  Refusal   `cbor:"2,keyasint,omitempty"`
	Held     int       `cbor:"3,keyasint"`
	Finished bool      `cbor:"4,keyasint,omitempty"`
	Promised Epoch     `cbor:"5,keyasint,omitzero"`
	Epoch    Epoch     `cbor:"6,keyasint"`
	Source   int       `cbor:"7,keyasint,omitempty"` // Source.Number of the source held
	Touch    uint64    `cbor:"8,keyasint,omitempty"`
	Reserved bool      `cbor:"9,keyasint,omitempty"`
}

// OK reports whether the write was accepted.
func (r *WriteReply) OK() bool { return r.Refusal == Accepted }

// Promise asks a keeper to refuse every epoch below Epoch and to return what it
// holds. With Peek the keeper promises nothing and only returns who owns the
// journal. With IfAbsent the keeper promises only if it does not know the journal
// and otherwise treats the message as a Peek: a resend must not depose a healthy
// owner.
type Promise struct {
	ID    RequestID `cbor:"1,keyasint"`
	Epoch Epoch     `cbor:"2,keyasint"`
	Peek  bool      `cbor:"3,keyasint,omitempty"`

	IfAbsent    bool   `cbor:"4,keyasint,omitempty"`
	Incarnation string `cbor:"5,keyasint,omitempty"` // incarnation of the addressed keeper
}

// PromiseReply is the reply to a Promise. Accepted is the epoch of the last write.
// The journal's tokens are included only with a promise, not with a Peek or a
// refusal.
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
