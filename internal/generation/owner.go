package generation

import (
	"cmp"
	"errors"
)

// ErrDeposed is returned once a higher epoch has taken the journal over.
var ErrDeposed = errors.New("generation: another owner has taken over")

// ErrMoved is returned when a keeper knows a newer list of VMs than this owner.
var ErrKeepersMoved = errors.New("generation: the journal's keepers have moved")

// ErrStaleAttempt is returned for tokens of an attempt that is not the current
// one, or that do not follow the journal's end.
var ErrStaleAttempt = errors.New("generation: event of a stale attempt")

// Owner is the state of the router that runs a generation: the journal, how
// much of it each keeper holds, and the one attempt that may append. It is not
// safe for concurrent use.
type Owner struct {
	Request Request
	Epoch   Epoch

	journal  Journal
	group    KeeperSet
	keepers  []replica // in the group's order
	attempt  int
	source   Source
	version  string
	deposed  bool
	sealing  bool
	released int
	touch    uint64
	Dropped  int // events of stale attempts
}

type replica struct {
	id        KeeperID
	promised  bool   // may be installed
	confirm   uint64 // if above 0, once this touch has been answered
	installed bool
	held      int
	source    int
	finished  bool
	touch     uint64
}

// NewOwner returns the owner of a new journal, or of one taken over. replies
// tells which keepers have promised its epoch.
func NewOwner(req Request, epoch Epoch, group KeeperSet, replies *Replies, journal Journal) *Owner {
	o := &Owner{Request: req, journal: journal}
	o.place(epoch, group, replies)
	return o
}

func (o *Owner) place(epoch Epoch, group KeeperSet, replies *Replies) {
	o.Epoch, o.group, o.keepers = epoch, group, make([]replica, 0, len(group.Keepers))
	for _, k := range group.Keepers {
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

// Group is the journal's present keeper set.
func (o *Owner) KeeperSet() KeeperSet { return o.group }

// BeginSeal stops the writes of the present epoch while the owner seals its
// journal for another keeper set.
func (o *Owner) BeginSeal() { o.sealing = true }

// Replace moves the journal to another keeper set under a new epoch, once
// replies are Ready. The attempt goes on. Where the keepers show a journal of a
// higher epoch than this owner's, somebody else has taken over.
func (o *Owner) MoveTo(epoch Epoch, group KeeperSet, replies *Replies) error {
	if best, ok := replies.Best(); o.deposed || (ok && o.Epoch.Less(best.Accepted)) {
		o.deposed = true
		return ErrDeposed
	}
	o.sealing = false
	o.place(epoch, group, replies)
	return nil
}

// BeginAttempt makes a new attempt the only one that may append, and returns
// its id and the number of tokens it starts behind.
func (o *Owner) BeginAttempt() (AttemptID, int) {
	o.attempt++
	return AttemptID{Request: o.Request.ID, Epoch: o.Epoch, Number: o.attempt}, o.journal.Len()
}

// SetSource notes on which engine the present attempt runs. It comes before
// the attempt's first token, so that no keeper holds tokens of an attempt
// that it does not know.
func (o *Owner) SetSource(s Source) {
	s.Number = 2 * o.attempt
	o.source = s
	o.PinVersion(o.Version())
}

// Version is the model version that the answer is made of; empty before its first
// token, unless the request asked for one.
func (o *Owner) Version() string { return cmp.Or(o.version, o.Request.Version) }

// Pin notes the model version that the answer is made of, once, with or before
// its first token: every later attempt, also of another owner, runs that version.
// Without it an answer begun by one version could go on with tokens of another.
func (o *Owner) PinVersion(version string) {
	if version == "" {
		return
	}
	o.version = version
	if o.source.Version == "" {
		o.source.Version = version
		o.source.Number++ // a keeper that knows the source without it learns it
	}
}

// Append adds tokens of an attempt, or its end.
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

// Touch makes a write to each keeper due even without tokens: keepers forget a
// journal that no owner touches. Once Touched reaches the number returned, this
// owner was the owner after the call.
func (o *Owner) Touch() uint64 {
	o.touch++
	return o.touch
}

// Touched is the highest touch that a majority has answered.
func (o *Owner) ConfirmedTouch() uint64 {
	return majorityOf(o, func(r *replica) uint64 { return r.touch })
}

// majorityOf is the highest value that a majority of the keepers has reached.
// Only those that hold the journal count.
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
	if need := o.group.Majority(); n >= need {
		return reached[need-1]
	}
	return 0
}

// Next returns the write that brings a keeper up to date, and false if it has
// everything. maxTokens bounds the size of one write after the installation;
// that one is whole, since a part of it would hide tokens that a keeper had.
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
	// A promise given behind the opening counts only after a majority has confirmed
	// this epoch once more: they may have forgotten it by now, and another owner may
	// have begun under a lower one.
	w.Reserve = true
	return w, r.confirm == 0 && o.Accepted()
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

// newSource is the source for a keeper that knows the one of number known.
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

// Ack takes a keeper's reply to a write. ErrDeposed: another owner has taken
// over. ErrMoved: the journal must be placed by a newer list. An
// *InvariantError stops the answer.
func (o *Owner) Ack(vm string, reply WriteReply) error {
	r := o.replica(vm)
	if r == nil || reply.Epoch != o.Epoch {
		return nil
	}
	if !reply.OK() {
		return o.refused(r, reply)
	}
	if reply.Reserved {
		r.confirm = o.Touch()
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
		if r.confirm == 0 {
			continue
		}
		if touched == 0 {
			touched = o.ConfirmedTouch()
		}
		if touched >= r.confirm {
			r.promised, r.confirm = true, 0
		}
	}
}

func (o *Owner) refused(r *replica, reply WriteReply) error {
	switch reply.Refusal {
	case HigherEpochPromised:
		if o.sealing && reply.Promised.VM == o.Epoch.VM {
			return nil // this owner's own seal
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

// Accepted reports whether a majority holds the request itself.
func (o *Owner) Accepted() bool {
	return o.count(func(r *replica) bool { return r.installed }) >= o.group.Majority()
}

// Behind reports whether a majority of keepers still lacks something.
func (o *Owner) ReplicationPending() bool {
	_, _, finished := o.Finished()
	return o.sealing || !o.Accepted() || o.released < o.journal.Len() || (o.journal.Finish != "" && !finished)
}

// Released is the number of tokens a caller may see.
func (o *Owner) Released() int { return o.released }

// Finished returns how the generation ended, and whether a majority holds that.
func (o *Owner) Finished() (string, Usage, bool) {
	done := o.journal.Finish != "" && o.released == o.journal.Len() &&
		o.count(func(r *replica) bool { return r.finished }) >= o.group.Majority()
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

// Journal is the answer so far, with tokens that may not be released yet. It is
// valid until the next call of a method.
func (o *Owner) Journal() *Journal { return &o.journal }
