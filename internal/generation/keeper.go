package generation

import "slices"

// Write asks a keeper to hold tokens of a journal. With Install it replaces the
// journal whole and carries the request; every owner begins so, behind its
// promises.
type Write struct {
	ID      RequestID `cbor:"1,keyasint"`
	Epoch   Epoch     `cbor:"2,keyasint"`
	Request *Request  `cbor:"3,keyasint,omitempty"`
	Install bool      `cbor:"5,keyasint,omitempty"`
	Span    Span      `cbor:"6,keyasint"`
	Finish  string    `cbor:"7,keyasint,omitempty"`
	Usage   Usage     `cbor:"8,keyasint"`
}

// WriteReply answers a Write. Where OK is false, Promised tells why: an epoch
// above the writer's means that it was taken over; otherwise the keeper needs
// an installation from index 0.
type WriteReply struct {
	ID       RequestID `cbor:"1,keyasint"`
	OK       bool      `cbor:"2,keyasint"`
	Held     int       `cbor:"3,keyasint"`
	Finished bool      `cbor:"4,keyasint,omitempty"`
	Promised Epoch     `cbor:"5,keyasint"`
}

// Promise asks a keeper to refuse every epoch below Epoch and to show what it
// holds. With Peek it promises nothing and only shows who owns the journal; with
// IfAbsent it promises only where the keeper knows nothing of the journal, and
// is a Peek otherwise: a resend must not depose an owner that is well.
type Promise struct {
	ID    RequestID `cbor:"1,keyasint"`
	Epoch Epoch     `cbor:"2,keyasint"`
	Peek  bool      `cbor:"3,keyasint,omitempty"`

	IfAbsent bool `cbor:"4,keyasint,omitempty"`
}

// PromiseReply answers a Promise. Accepted is the epoch of the last write.
type PromiseReply struct {
	OK       bool     `cbor:"1,keyasint"`
	Promised Epoch    `cbor:"2,keyasint"`
	Found    bool     `cbor:"3,keyasint"`
	Accepted Epoch    `cbor:"4,keyasint"`
	Request  *Request `cbor:"5,keyasint,omitempty"`
	Journal  Journal  `cbor:"6,keyasint"`
}

type record struct {
	promised Epoch
	accepted Epoch
	request  *Request
	journal  Journal
}

// Keeper holds one VM's replicas of journals. It is not safe for concurrent use.
type Keeper struct {
	records map[RequestID]*record
}

// NewKeeper returns an empty Keeper.
func NewKeeper() *Keeper {
	return &Keeper{records: map[RequestID]*record{}}
}

// Len is the number of journals held.
func (k *Keeper) Len() int { return len(k.records) }

// Promise handles p.
func (k *Keeper) Promise(p Promise) PromiseReply {
	r := k.records[p.ID]
	if r == nil && !p.Peek {
		r = &record{}
		k.records[p.ID] = r
	}
	if r == nil {
		return PromiseReply{OK: true}
	}
	if p.Peek || (p.IfAbsent && !r.promised.IsZero() && r.promised != p.Epoch) {
		reply := r.reply(p.Peek)
		reply.Journal = Journal{Finish: r.journal.Finish}
		return reply
	}
	if p.Epoch.Less(r.promised) {
		return r.reply(false)
	}
	r.promised = p.Epoch
	return r.reply(true)
}

func (r *record) reply(ok bool) PromiseReply {
	return PromiseReply{
		OK: ok, Promised: r.promised, Found: r.request != nil,
		Accepted: r.accepted, Request: r.request, Journal: r.journal.Clone(),
	}
}

// Write handles w.
func (k *Keeper) Write(w Write) WriteReply {
	r := k.records[w.ID]
	if r == nil {
		if !w.Install {
			return WriteReply{ID: w.ID}
		}
		r = &record{}
		k.records[w.ID] = r
	}
	if w.Epoch.Less(r.promised) {
		return WriteReply{ID: w.ID, Promised: r.promised}
	}
	switch {
	case w.Install:
		r.install(w)
	case r.accepted != w.Epoch || w.Span.From > r.journal.Len():
		return WriteReply{ID: w.ID, Promised: r.promised}
	default:
		r.extend(w)
	}
	r.promised = w.Epoch
	r.accepted = w.Epoch
	return WriteReply{ID: w.ID, OK: true, Held: r.journal.Len(), Finished: r.journal.Finish != "", Promised: r.promised}
}

// install replaces the journal whole, unless the same epoch already brought
// more: messages may arrive late or twice.
func (r *record) install(w Write) {
	if r.accepted == w.Epoch && w.Span.End() <= r.journal.Len() {
		return
	}
	r.request = w.Request
	r.journal = Journal{
		Tokens: slices.Clone(w.Span.Tokens),
		Texts:  slices.Clone(w.Span.Texts),
		Finish: w.Finish,
		Usage:  w.Usage,
	}
}

func (r *record) extend(w Write) {
	known := r.journal.Len() - w.Span.From
	for i := 0; i < known && i < len(w.Span.Tokens); i++ {
		if r.journal.Tokens[w.Span.From+i] != w.Span.Tokens[i] {
			panic(&InvariantError{"a journal changed a token within one epoch"})
		}
	}
	if known < len(w.Span.Tokens) {
		r.journal.Tokens = append(r.journal.Tokens, w.Span.Tokens[known:]...)
		r.journal.Texts = append(r.journal.Texts, w.Span.Texts[known:]...)
	}
	if w.Finish != "" {
		r.journal.Finish = w.Finish
		r.journal.Usage = w.Usage
	}
}

// Drop forgets a journal whose retention has passed.
func (k *Keeper) Drop(id RequestID) { delete(k.records, id) }
