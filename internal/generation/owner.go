package generation

import (
	"cmp"
	"errors"
)

// ErrDeposed is returned once an owner with a higher epoch has taken over the
// journal.
var ErrDeposed = errors.New("generation: another owner has taken over")

// ErrKeepersMoved is returned when a keeper knows a newer list of VMs than this
// owner. The owner must place the journal again by a newer list.
var ErrKeepersMoved = errors.New("generation: the journal has been placed by an outdated list of VMs")

// ErrStaleAttempt is returned for tokens that come from another attempt than the
// current one or that do not continue the journal at its end.
var ErrStaleAttempt = errors.New("generation: event of a stale attempt")

// Owner is the state of the router that runs a generation: the journal, the part
// of it that each keeper holds, and the one attempt that may append. It is not
// safe for concurrent use.
type Owner struct {
	Request Request
	Epoch   Epoch

	journal   Journal
	keeperSet KeeperSet
	keepers   []replica // in the order of keeperSet
	attempt   int
	source    Source
	version   string
	deposed   bool
	sealing   bool
	released  int
	touch     uint64
	Dropped   int // events of stale attempts
}

type replica struct {
	id           KeeperID
	promised     bool   // accepts an installation
	confirmTouch uint64 // promised becomes true once this touch is confirmed; 0: none pending
	installed    bool
	held         int // number of tokens
	source       int // Source.Number that the keeper holds
	finished     bool
	touch        uint64
}

// NewOwner returns the owner of a new or taken-over journal. replies holds the
// promises for its epoch.
func NewOwner(req Request, epoch Epoch, keeperSet KeeperSet, replies *Replies, journal Journal) *Owner {
	o := &Owner{Request: req, journal: journal}
	o.place(epoch, keeperSet, replies)
	return o
}

func (o *Owner) place(epoch Epoch, keeperSet KeeperSet, replies *Replies) {
	o.Epoch, o.keeperSet, o.keepers = epoch, keeperSet, make([]replica, 0, len(keeperSet.Keepers))
	for _, k := range keeperSet.Keepers {
		o.keepers = append(o.keepers, replica{id: k, promised: replies.Promised(k)})
	}
}

func (o *Owner) replica(vm string) *replica {
	for i := range o.keepers {
		if o.keepers[i].id.VM == vm {
			return &o.keepers[i]
		}
	}
	return nil
}

// KeeperSet returns the journal's current keeper set.
func (o *Owner) KeeperSet() KeeperSet { return o.keeperSet }

// BeginSeal stops the writes of the current epoch while the owner seals its
// journal to move it to another keeper set.
func (o *Owner) BeginSeal() { o.sealing = true }

// MoveTo moves the journal to another keeper set under a new epoch. replies must
// be Ready. The current attempt continues. If a keeper holds the journal under a
// higher epoch than this owner's, another owner has taken over, and MoveTo
// returns ErrDeposed.
func (o *Owner) MoveTo(epoch Epoch, keeperSet KeeperSet, replies *Replies) error {
	if best, ok := replies.Best(); o.deposed || (ok && o.Epoch.Less(best.Accepted)) {
		o.deposed = true
		return ErrDeposed
	}
	o.sealing = false
	o.place(epoch, keeperSet, replies)
	return nil
}

// BeginAttempt starts a new attempt, which from now on is the only one that may
// append. It returns the attempt's ID and the number of tokens already in the
// journal.
func (o *Owner) BeginAttempt() (AttemptID, int) {
	o.attempt++
	return AttemptID{Request: o.Request.ID, Epoch: o.Epoch, Number: o.attempt}, o.journal.Len()
}

// SetSource records the engine on which the current attempt runs. It must be
// called before the attempt's first token is appended: a keeper must not hold
// tokens of an attempt that it does not know.
func (o *Owner) SetSource(s Source) {
	s.Number = 2 * o.attempt
	o.source = s
	o.PinVersion(o.Version())
}

// Version returns the model version that generates the answer. It is empty before
// the first token unless the request specified a version.
func (o *Owner) Version() string { return cmp.Or(o.version, o.Request.Version) }

// PinVersion records the model version that generates the answer, with or before
// its first token. Every later attempt, also that of another owner, runs this
// version. Otherwise an answer could contain tokens of two model versions.
func (o *Owner) PinVersion(version string) {
	if version == "" {
		return
	}
	o.version = version
	if o.source.Version == "" {
		o.source.Version = version
		o.source.Number++ // resends the source to keepers that know it without a version
	}
}

// Append adds tokens of an attempt. A non-empty finish ends the generation.
func (o *Owner) Append(attempt int, s Span, finish string, usage Usage) error {
	if o.deposed {
		return ErrDeposed
	}
	if attempt != o.attempt || o.journal.Finish != "" || s.From != o.journal.Len() {
		o.Dropped++
		return ErrStaleAttempt
	}
	o.journal.Tokens = append(o.journal.Tokens, s.Tokens...)
	o.journal.Texts = append(o.journal.Texts, s.Texts...)
	if finish != "" {
		o.journal.Finish = finish
		o.journal.Usage = usage
	}
	return nil
}

// Touch makes a write to each keeper due even if there are no new tokens: keepers
// forget a journal that no owner touches. Once ConfirmedTouch reaches the returned
// number, a majority has confirmed that this owner still owned the journal after
// the call.
func (o *Owner) Touch() uint64 {
	o.touch++
	return o.touch
}

// ConfirmedTouch returns the highest touch that a majority has acknowledged.
func (o *Owner) ConfirmedTouch() uint64 {
	return majorityOf(o, func(r *replica) uint64 { return r.touch })
}

// majorityOf returns the highest value that a majority of the keepers has reached.
// Only keepers that hold the journal count.
func majorityOf[T int | uint64](o *Owner, value func(*replica) T) T {
	var reached [MaxKeepers]T
	n := 0
	for i := range o.keepers {
		r := &o.keepers[i]
		if !r.installed {
			continue
		}
		at := n
		for v := value(r); at > 0 && reached[at-1] < v; at-- {
			reached[at] = reached[at-1]
		}
		reached[at] = value(r)
		n++
	}
	if need := o.keeperSet.Majority(); n >= need {
		return reached[need-1]
	}
	return 0
}

// NextWrite returns the next write for a keeper, and false if none is due.
// maxTokens bounds the number of tokens in a write after the installation. The
// installation itself always carries the complete journal: a partial one would
// replace tokens that the keeper already holds.
func (o *Owner) NextWrite(vm string, maxTokens int) (Write, bool) {
	r := o.replica(vm)
	if r == nil || o.deposed || o.sealing {
		return Write{}, false
	}
	w := Write{ID: o.Request.ID, Epoch: o.Epoch, Incarnation: r.id.Incarnation, Touch: o.touch}
	switch {
	case r.installed:
		return o.extension(w, r, maxTokens)
	case r.promised:
		return o.installation(w), true
	}
	// A promise given after the journal was opened counts only once a majority has
	// confirmed this epoch again. The majority may have forgotten the epoch, and
	// another owner may have begun under a lower one.
	w.Reserve = true
	return w, r.confirmTouch == 0 && o.Accepted()
}

func (o *Owner) installation(w Write) Write {
	w.Request = &o.Request
	w.Install = true
	w.Span = o.span(0, o.journal.Len())
	w.Finish, w.Usage = o.journal.Finish, o.journal.Usage
	w.Source = o.newSource(0)
	return w
}

func (o *Owner) extension(w Write, r *replica, maxTokens int) (Write, bool) {
	ended := o.journal.Finish == "" || r.finished
	w.Source = o.newSource(r.source)
	if r.held == o.journal.Len() && ended && w.Source == nil && r.touch == o.touch {
		return Write{}, false
	}
	end := min(o.journal.Len(), r.held+maxTokens)
	w.Span = o.span(r.held, end)
	if end == o.journal.Len() {
		w.Finish, w.Usage = o.journal.Finish, o.journal.Usage
	}
	return w, true
}

// newSource returns the current source, or nil if the keeper already knows it.
// known is the Number of the source that the keeper holds.
func (o *Owner) newSource(known int) *Source {
	if o.source.Number == known {
		return nil
	}
	source := o.source
	return &source
}

func (o *Owner) span(from, to int) Span {
	return Span{From: from, Tokens: o.journal.Tokens[from:to:to], Texts: o.journal.Texts[from:to:to]}
}

// Ack handles a keeper's reply to a write. It returns ErrDeposed if another owner
// has taken over, and ErrKeepersMoved if the journal must be placed by a newer
// list of VMs. The caller must end the answer on an *InvariantError.
func (o *Owner) Ack(vm string, reply WriteReply) error {
	r := o.replica(vm)
	if r == nil || reply.Epoch != o.Epoch {
		return nil
	}
	if !reply.OK() {
		return o.refused(r, reply)
	}
	if reply.Reserved {
		r.confirmTouch = o.Touch()
		return nil
	}
	r.installed = true
	r.touch = max(r.touch, reply.Touch)
	r.held = max(r.held, reply.Held)
	r.source = max(r.source, reply.Source)
	r.finished = r.finished || reply.Finished
	if r.held > o.journal.Len() {
		return &InvariantError{"a keeper holds tokens of this epoch that its owner never wrote"}
	}
	o.released = max(o.released, majorityOf(o, func(r *replica) int { return r.held }))
	o.confirmReserved()
	return nil
}

func (o *Owner) confirmReserved() {
	touched := uint64(0)
	for i := range o.keepers {
		r := &o.keepers[i]
		if r.confirmTouch == 0 {
			continue
		}
		if touched == 0 {
			touched = o.ConfirmedTouch()
		}
		if touched >= r.confirmTouch {
			r.promised, r.confirmTouch = true, 0
		}
	}
}

func (o *Owner) refused(r *replica, reply WriteReply) error {
	switch reply.Refusal {
	case HigherEpochPromised:
		if o.sealing && reply.Promised.VM == o.Epoch.VM {
			return nil // promised to this owner's own seal
		}
		if reply.Promised == o.Epoch {
			*r = replica{id: r.id} // the keeper has forgotten this owner's journal
			return nil
		}
		o.deposed = true
		return ErrDeposed
	case NeedsInstall:
		*r = replica{id: r.id, promised: r.promised}
	case VersionTooOld:
		return ErrKeepersMoved
	case BreaksInvariant:
		return &InvariantError{"a keeper refused a write that breaks an invariant"}
	default:
		*r = replica{id: r.id}
	}
	return nil
}

// Accepted reports whether a majority of keepers holds the request.
func (o *Owner) Accepted() bool {
	return o.count(func(r *replica) bool { return r.installed }) >= o.keeperSet.Majority()
}

// ReplicationPending reports whether the journal, its request or its end is not
// yet held by a majority of keepers.
func (o *Owner) ReplicationPending() bool {
	_, _, finished := o.Finished()
	return o.sealing || !o.Accepted() || o.released < o.journal.Len() || (o.journal.Finish != "" && !finished)
}

// Released returns the number of tokens that may be sent to callers.
func (o *Owner) Released() int { return o.released }

// Finished returns the finish reason and usage, and whether a majority of keepers
// holds them and the complete journal.
func (o *Owner) Finished() (string, Usage, bool) {
	done := o.journal.Finish != "" && o.released == o.journal.Len() &&
		o.count(func(r *replica) bool { return r.finished }) >= o.keeperSet.Majority()
	return o.journal.Finish, o.journal.Usage, done
}

func (o *Owner) count(is func(*replica) bool) int {
	n := 0
	for i := range o.keepers {
		if is(&o.keepers[i]) {
			n++
		}
	}
	return n
}

// Deposed reports whether another owner has taken over.
func (o *Owner) Deposed() bool { return o.deposed }

// Journal returns the answer so far, including tokens that may not be released
// yet. The result is valid until the next method call.
func (o *Owner) Journal() *Journal { return &o.journal }
