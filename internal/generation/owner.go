package generation

import "errors"

// ErrDeposed is returned once a higher epoch has taken the journal over.
var ErrDeposed = errors.New("generation: another owner has taken over")

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
	keepers  map[string]*replica
	majority int
	attempt  int
	deposed  bool
	released int
	Dropped  int // events of stale attempts
}

type replica struct {
	installed bool
	held      int
	finished  bool
}

// NewOwner returns the owner of a new journal, or of one taken over.
func NewOwner(req Request, epoch Epoch, keepers []string, journal Journal) *Owner {
	o := &Owner{Request: req, Epoch: epoch, journal: journal, keepers: map[string]*replica{}}
	for _, vm := range keepers {
		o.keepers[vm] = &replica{}
	}
	o.majority = len(keepers)/2 + 1
	return o
}

// BeginAttempt makes a new attempt the only one that may append, and returns
// its id and the number of tokens it starts behind.
func (o *Owner) BeginAttempt() (AttemptID, int) {
	o.attempt++
	return AttemptID{Request: o.Request.ID, Epoch: o.Epoch, Number: o.attempt}, o.journal.Len()
}

// Append adds tokens of an attempt, or its end. Tokens that the journal already
// holds must be equal to it.
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

// Next returns the write that brings a keeper up to date, and false if it has
// everything. maxTokens bounds the size of one write after the installation.
func (o *Owner) Next(vm string, maxTokens int) (Write, bool) {
	r := o.keepers[vm]
	if r == nil || o.deposed {
		return Write{}, false
	}
	w := Write{ID: o.Request.ID, Epoch: o.Epoch}
	if !r.installed {
		w.Request = &o.Request
		w.Install = true
		w.Span = o.span(0, o.journal.Len())
		w.Finish, w.Usage = o.journal.Finish, o.journal.Usage
		return w, true
	}
	if r.held == o.journal.Len() && (o.journal.Finish == "" || r.finished) {
		return Write{}, false
	}
	end := min(o.journal.Len(), r.held+maxTokens)
	w.Span = o.span(r.held, end)
	if end == o.journal.Len() {
		w.Finish, w.Usage = o.journal.Finish, o.journal.Usage
	}
	return w, true
}

func (o *Owner) span(from, to int) Span {
	return Span{From: from, Tokens: o.journal.Tokens[from:to:to], Texts: o.journal.Texts[from:to:to]}
}

// Ack takes a keeper's reply to a write. It returns ErrDeposed once a higher
// epoch shows.
func (o *Owner) Ack(vm string, reply WriteReply) error {
	r := o.keepers[vm]
	if r == nil {
		return nil
	}
	if !reply.OK {
		r.installed = false
		if o.Epoch.Less(reply.Promised) {
			o.deposed = true
			return ErrDeposed
		}
		return nil
	}
	r.installed = true
	r.held = max(r.held, reply.Held)
	r.finished = r.finished || reply.Finished
	if r.held > o.journal.Len() {
		panic(&InvariantError{"a keeper holds tokens of this epoch that its owner never wrote"})
	}
	o.released = max(o.released, o.heldByMajority())
	return nil
}

func (o *Owner) heldByMajority() int {
	best := 0
	for _, r := range o.keepers {
		if r.installed && r.held > best && o.countAtLeast(r.held) >= o.majority {
			best = r.held
		}
	}
	return best
}

func (o *Owner) countAtLeast(n int) int {
	count := 0
	for _, r := range o.keepers {
		if r.installed && r.held >= n {
			count++
		}
	}
	return count
}

// Accepted reports whether a majority holds the request itself.
func (o *Owner) Accepted() bool {
	return o.countAtLeast(0) >= o.majority
}

// Released is the number of tokens a caller may see.
func (o *Owner) Released() int { return o.released }

// Finished returns how the generation ended, and whether a majority holds that.
func (o *Owner) Finished() (string, Usage, bool) {
	count := 0
	for _, r := range o.keepers {
		if r.finished {
			count++
		}
	}
	done := o.journal.Finish != "" && count >= o.majority && o.released == o.journal.Len()
	return o.journal.Finish, o.journal.Usage, done
}

// Deposed reports whether another owner has taken over.
func (o *Owner) Deposed() bool { return o.deposed }

// Depose ends this owner's right to append.
func (o *Owner) Depose() { o.deposed = true }

// Journal is the journal including tokens not yet released.
func (o *Owner) Journal() *Journal { return &o.journal }

// Replies collects promises for a takeover.
type Replies struct {
	Need int
	OK   map[string]PromiseReply
	Max  Epoch // the highest epoch seen in any answer
}

// NewReplies waits for a majority of keepers.
func NewReplies(keepers int) *Replies {
	return &Replies{Need: keepers/2 + 1, OK: map[string]PromiseReply{}}
}

// Add takes one reply.
func (r *Replies) Add(vm string, reply PromiseReply) {
	if r.Max.Less(reply.Promised) {
		r.Max = reply.Promised
	}
	if reply.OK {
		r.OK[vm] = reply
	}
}

// Ready reports whether a majority has promised.
func (r *Replies) Ready() bool { return len(r.OK) >= r.Need }

// Best returns the journal to go on with: the one of the highest accepted
// epoch, and of those the longest. Length alone would be wrong: a deposed owner
// may have left a longer journal on one keeper, with tokens that the next owner
// generated differently and has released.
func (r *Replies) Best() (PromiseReply, bool) {
	var best PromiseReply
	for _, reply := range r.OK {
		if !reply.Found {
			continue
		}
		newer := best.Accepted.Less(reply.Accepted)
		longer := best.Accepted == reply.Accepted && reply.Journal.Len() > best.Journal.Len()
		ended := best.Accepted == reply.Accepted && reply.Journal.Len() == best.Journal.Len() && reply.Journal.Finish != ""
		if !best.Found || newer || longer || ended {
			best = reply
		}
	}
	return best, best.Found
}
