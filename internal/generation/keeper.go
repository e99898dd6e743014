package generation

import "time"

// Limits bound a keeper's memory. A full keeper refuses new journals; those it
// holds may grow, and one that is taken over or re-placed may still come while
// the reserve lasts: refusing it would lose an accepted answer.
type Limits struct {
	MaxJournals int
	MaxBytes    int64

	PromiseValidity    time.Duration // how long after its promise an installation is taken
	PromiseRetention   time.Duration // of a promise that no journal followed
	FinishedRetention  time.Duration // of a finished journal
	AbandonedRetention time.Duration // of an unfinished one that no owner touches
	EpochRetention     time.Duration // of the epoch of what was forgotten
}

// DefaultLimits suit a small VM. 20,000 journals are far above the running
// generations that 330 VMs hold for each other at 7,800 requests/s of 10 s, five
// copies each (about 1,200 a VM); 128 MB hold them at 6 kB each. callerKeep is
// how long a caller may stay away.
//
// PromiseKeep is well above PromiseUse: when the first of the keepers that
// promised together forgets it, none may take the installation any more. Else a
// router that was paused behind its promises would install on the one keeper
// that still remembers, under an epoch above that of an answer which the others
// have begun and released since. Three times leaves room for clocks that drift.
func DefaultLimits(callerKeep time.Duration) Limits {
	return Limits{
		MaxJournals: 20_000, MaxBytes: 128 << 20,
		PromiseValidity: 20 * time.Second, PromiseRetention: time.Minute, FinishedRetention: callerKeep, AbandonedRetention: callerKeep + 30*time.Second,
		EpochRetention: callerKeep + 5*time.Minute,
	}
}

// reserve is the part of the limits on top that only known journals may use.
const reserve = 4 // a quarter

// epochsPerJournal bounds the epochs kept of forgotten journals. Beyond it the
// journals themselves stay, and new ones are refused in the end.
const epochsPerJournal = 4

// recordBytes is about what an empty record takes.
const recordBytes = 400

// remnant is what stays of a forgotten journal for a while: its keepers forget it
// at different moments, so that one may still hold it when a new answer of the
// same key begins on the others. That answer must have the higher epoch, or a
// takeover would prefer the old one and mix the two.
type remnant struct {
	epoch Epoch
	at    time.Time
}

type record struct {
	promised Epoch
	since    time.Time // of the promise
	accepted Epoch
	request  *Request
	journal  packed
	source   Source
	touched  time.Time
	bytes    int64
}

// Keeper holds one VM's replicas of journals, in one incarnation. It is not
// safe for concurrent use.
type Keeper struct {
	incarnation string
	limits      Limits
	floor       uint64
	records     map[RequestID]*record
	remnants    map[RequestID]remnant
	bytes       int64
}

// NewKeeper returns an empty Keeper.
func NewKeeper(incarnation string, limits Limits) *Keeper {
	return &Keeper{incarnation: incarnation, limits: limits, records: map[RequestID]*record{}, remnants: map[RequestID]remnant{}}
}

// Len is the number of journals held, Bytes about what they take.
func (k *Keeper) Len() int { return len(k.records) }

// Bytes is about the memory that the journals take.
func (k *Keeper) Bytes() int64 { return k.bytes }

// SetFloor makes the keeper refuse owners that place by a version older than
// any that lookups still ask: nobody would find what they write.
func (k *Keeper) SetMinVersion(version uint64) { k.floor = max(k.floor, version) }

// refuses checks what holds for every message. An answer given for another life
// of this VM would count a memory that is gone.
func (k *Keeper) refuses(to string, version uint64) Refusal {
	switch {
	case to != "" && to != k.incarnation:
		return OtherIncarnation
	case version < k.floor:
		return VersionTooOld
	}
	return Accepted
}

func (k *Keeper) full(known bool) bool {
	journals, bytes := k.limits.MaxJournals, k.limits.MaxBytes
	if known {
		journals += journals / reserve
		bytes += bytes / reserve
	}
	return len(k.records) >= journals || k.bytes >= bytes
}

func (k *Keeper) add(id RequestID) *record {
	r := &record{}
	k.records[id] = r
	k.resize(r)
	return r
}

func (k *Keeper) resize(r *record) {
	size := int64(recordBytes)
	if r.request != nil {
		size += int64(len(r.request.Prompt) + 4*len(r.request.PromptIDs))
	}
	size += r.journal.bytes()
	k.bytes += size - r.bytes
	r.bytes = size
}

// Promise handles p.
func (k *Keeper) Promise(p Promise, now time.Time) PromiseReply {
	if refusal := k.refuses(p.Incarnation, p.Epoch.Version); refusal != Accepted {
		return PromiseReply{Refusal: refusal}
	}
	r := k.records[p.ID]
	if r == nil && p.Peek {
		return PromiseReply{OK: true}
	}
	if old := k.remnants[p.ID].epoch; r == nil && !old.Less(p.Epoch) && !old.IsZero() {
		return PromiseReply{Refusal: HigherEpochPromised, Promised: old}
	}
	if r == nil {
		if k.full(!p.IfAbsent) {
			return PromiseReply{Refusal: Full}
		}
		r = k.add(p.ID)
	}
	if p.Peek {
		return r.show(true, Accepted)
	}
	if p.IfAbsent && !r.promised.IsZero() && r.promised != p.Epoch {
		return r.show(false, HigherEpochPromised)
	}
	if p.Epoch.Less(r.promised) {
		return r.show(false, HigherEpochPromised)
	}
	r.promise(p.Epoch, now)
	reply := r.show(true, Accepted)
	reply.Journal = r.journal.unpack()
	return reply
}

// promise notes when a promise was first given: repeated, it is no younger.
func (r *record) promise(epoch Epoch, now time.Time) {
	if r.promised != epoch {
		r.promised, r.since = epoch, now
	}
	r.touched = now
}

// show describes a record without its tokens.
func (r *record) show(ok bool, refusal Refusal) PromiseReply {
	reply := PromiseReply{
		OK: ok, Refusal: refusal, Promised: r.promised, Found: r.request != nil,
		Accepted: r.accepted, Request: r.request, Journal: Journal{Finish: r.journal.finish},
	}
	if r.source.Number > 0 {
		source := r.source
		reply.Source = &source
	}
	return reply
}

// Write handles w.
func (k *Keeper) Write(w Write, now time.Time) WriteReply {
	refuse := func(why Refusal, promised Epoch) WriteReply {
		return WriteReply{ID: w.ID, Epoch: w.Epoch, Refusal: why, Promised: promised}
	}
	if refusal := k.refuses(w.Incarnation, w.Epoch.Version); refusal != Accepted {
		return refuse(refusal, Epoch{})
	}
	r := k.records[w.ID]
	if r == nil && !w.Reserve {
		return refuse(NoPromise, Epoch{})
	}
	if old := k.remnants[w.ID].epoch; r == nil && !old.Less(w.Epoch) && !old.IsZero() {
		return refuse(HigherEpochPromised, old)
	}
	if r == nil {
		if k.full(true) {
			return refuse(Full, Epoch{})
		}
		r = k.add(w.ID)
	}
	switch {
	case w.Epoch.Less(r.promised):
		return refuse(HigherEpochPromised, r.promised)
	case w.Reserve:
		r.promise(w.Epoch, now)
		return WriteReply{ID: w.ID, Epoch: w.Epoch, Promised: r.promised, Reserved: true}
	case w.Install && !r.takes(w.Epoch, now, k.limits.PromiseValidity):
		return refuse(NoPromise, r.promised)
	case w.Install:
		r.install(w)
		k.resize(r)
	case r.accepted != w.Epoch || w.Span.From > r.journal.len():
		return refuse(NeedsInstall, r.promised)
	default:
		grown, err := r.extend(w)
		if err != nil {
			return refuse(BreaksInvariant, r.promised)
		}
		r.bytes += grown
		k.bytes += grown
	}
	r.promised, r.accepted, r.touched = w.Epoch, w.Epoch, now
	return WriteReply{
		ID: w.ID, Epoch: w.Epoch, Held: r.journal.len(), Finished: r.journal.finish != "",
		Promised: r.promised, Source: r.source.Number, Touch: w.Touch,
	}
}

// takes reports whether an installation may be taken: there is a young promise
// of its epoch, or the epoch's journal is here already.
func (r *record) takes(epoch Epoch, now time.Time, use time.Duration) bool {
	return r.accepted == epoch || (r.promised == epoch && now.Sub(r.since) < use)
}

// install replaces the journal whole, unless the same epoch already brought
// more: messages may arrive late or twice.
func (r *record) install(w Write) {
	if r.accepted == w.Epoch && w.Span.End() <= r.journal.len() {
		return
	}
	r.request = w.Request
	r.journal = packed{finish: w.Finish, usage: w.Usage}
	r.journal.add(w.Span.Tokens, w.Span.Texts)
	r.source = Source{}
	if w.Source != nil {
		r.source = *w.Source
	}
}

// extend adds tokens and returns the bytes that they take.
func (r *record) extend(w Write) (int64, error) {
	known := r.journal.len() - w.Span.From
	for i := 0; i < known && i < len(w.Span.Tokens); i++ {
		if r.journal.tokens[w.Span.From+i] != w.Span.Tokens[i] {
			return 0, &InvariantError{"a journal changed a token within one epoch"}
		}
	}
	if w.Source != nil && w.Source.Number > r.source.Number {
		r.source = *w.Source
	}
	before := r.journal.bytes()
	if known < len(w.Span.Tokens) {
		r.journal.add(w.Span.Tokens[known:], w.Span.Texts[known:])
	}
	if w.Finish != "" {
		r.journal.finish = w.Finish
		r.journal.usage = w.Usage
	}
	return r.journal.bytes() - before, nil
}

// Sweep forgets what nobody will ask for and returns how many unfinished
// journals were among it. A journal with an owner is touched by it and stays.
func (k *Keeper) Sweep(now time.Time) int {
	abandoned := 0
	for id, r := range k.records {
		if now.Sub(r.touched) < k.keeps(r) {
			continue
		}
		if r.request != nil && r.journal.finish == "" {
			abandoned++
		}
		if len(k.remnants) >= epochsPerJournal*k.limits.MaxJournals {
			break
		}
		k.remnants[id] = remnant{r.promised, now}
		k.bytes -= r.bytes
		delete(k.records, id)
	}
	for id, r := range k.remnants {
		if now.Sub(r.at) >= k.limits.EpochRetention {
			delete(k.remnants, id)
		}
	}
	return abandoned
}

func (k *Keeper) keeps(r *record) time.Duration {
	switch {
	case r.request == nil:
		return k.limits.PromiseRetention
	case r.journal.finish != "":
		return k.limits.FinishedRetention
	default:
		return k.limits.AbandonedRetention
	}
}
