package generation

import "time"

// Limits bound a keeper's memory. A full keeper refuses new journals, while the
// journals that it holds may still grow. A journal that is taken over or moved to
// this keeper may use a reserve on top, because refusing it would lose an
// accepted answer.
type Limits struct {
	MaxJournals int
	MaxBytes    int64

	PromiseValidity    time.Duration // age of a promise up to which an installation is accepted
	PromiseRetention   time.Duration // of a promise without a journal
	FinishedRetention  time.Duration // of a finished journal
	AbandonedRetention time.Duration // of an unfinished journal that no owner touches
	EpochRetention     time.Duration // of the epoch of a forgotten journal
}

// DefaultLimits returns limits for a small VM. maxDisconnect is how long a caller
// may stay disconnected.
//
// 330 VMs that serve 7,800 requests/s of 10 s each, with five replicas of each
// journal, hold about 1,200 running generations per VM; 20,000 journals are far
// above that. 128 MB hold 20,000 journals of 6 kB each.
//
// PromiseRetention is three times PromiseValidity, which leaves room for clock
// drift. Once the first of the keepers that promised together forgets its
// promise, none of them may accept the installation. Otherwise a router that was
// paused after it collected its promises could install on the one keeper that
// still remembers. Its epoch would be above that of an answer which the other
// keepers have begun and released in the meantime.
func DefaultLimits(maxDisconnect time.Duration) Limits {
	return Limits{
		MaxJournals: 20_000, MaxBytes: 128 << 20,
		PromiseValidity: 20 * time.Second, PromiseRetention: time.Minute, FinishedRetention: maxDisconnect, AbandonedRetention: maxDisconnect + 30*time.Second,
		EpochRetention: maxDisconnect + 5*time.Minute,
	}
}

// reserveDivisor sets the reserve, as a fraction of the limits, that only
// existing journals may use on top of them.
const reserveDivisor = 4 // a quarter

// epochsPerJournal bounds the number of tombstones, as a multiple of the journal
// limit. Beyond it, journals are no longer forgotten, and eventually new ones are
// refused.
const epochsPerJournal = 4

// emptyRecordBytes is the approximate memory use of an empty record.
const emptyRecordBytes = 400

// tombstone keeps the epoch of a forgotten journal for a while. The keepers forget
// a journal at different times: one may still hold it when a new answer with the
// same key begins on the others. The new answer must have the higher epoch;
// otherwise a takeover would prefer the old answer and mix the two.
type tombstone struct {
	epoch       Epoch
	forgottenAt time.Time
}

type record struct {
	promised   Epoch
	promisedAt time.Time
	accepted   Epoch
	request    *Request
	journal    packedJournal
	source     Source
	touchedAt  time.Time
	bytes      int64
}

// Keeper holds the journal replicas of one VM in one incarnation. It is not safe
// for concurrent use.
type Keeper struct {
	incarnation string
	limits      Limits
	minVersion  uint64
	records     map[RequestID]*record
	tombstones  map[RequestID]tombstone
	bytes       int64
}

// NewKeeper returns an empty Keeper.
func NewKeeper(incarnation string, limits Limits) *Keeper {
	return &Keeper{incarnation: incarnation, limits: limits, records: map[RequestID]*record{}, tombstones: map[RequestID]tombstone{}}
}

// Len returns the number of journals held.
func (k *Keeper) Len() int { return len(k.records) }

// Bytes returns the approximate memory use of the journals.
func (k *Keeper) Bytes() int64 { return k.bytes }

// SetMinVersion makes the keeper refuse owners that place journals by a membership
// version below version. Lookups no longer consult older versions, so a journal
// written by such an owner would never be found.
func (k *Keeper) SetMinVersion(version uint64) { k.minVersion = max(k.minVersion, version) }

// check applies the conditions that hold for every message. A message for another
// incarnation of this VM must be refused: the reply would vouch for memory that is
// lost.
func (k *Keeper) check(to string, version uint64) Refusal {
	switch {
	case to != "" && to != k.incarnation:
		return OtherIncarnation
	case version < k.minVersion:
		return VersionTooOld
	}
	return Accepted
}

func (k *Keeper) full(known bool) bool {
	journals, bytes := k.limits.MaxJournals, k.limits.MaxBytes
	if known {
		journals += journals / reserveDivisor
		bytes += bytes / reserveDivisor
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
	size := int64(emptyRecordBytes)
	if r.request != nil {
		size += int64(len(r.request.Prompt) + 4*len(r.request.PromptIDs))
	}
	size += r.journal.bytes()
	k.bytes += size - r.bytes
	r.bytes = size
}

// Promise handles a Promise message.
func (k *Keeper) Promise(p Promise, now time.Time) PromiseReply {
	if refusal := k.check(p.Incarnation, p.Epoch.Version); refusal != Accepted {
		return PromiseReply{Refusal: refusal}
	}
	r := k.records[p.ID]
	if r == nil && p.Peek {
		return PromiseReply{OK: true}
	}
	if old := k.tombstones[p.ID].epoch; r == nil && !old.Less(p.Epoch) && !old.IsZero() {
		return PromiseReply{Refusal: HigherEpochPromised, Promised: old}
	}
	if r == nil {
		if k.full(!p.IfAbsent) {
			return PromiseReply{Refusal: Full}
		}
		r = k.add(p.ID)
	}
	if p.Peek {
		return r.describe(true, Accepted)
	}
	if p.IfAbsent && !r.promised.IsZero() && r.promised != p.Epoch {
		return r.describe(false, HigherEpochPromised)
	}
	if p.Epoch.Less(r.promised) {
		return r.describe(false, HigherEpochPromised)
	}
	r.promise(p.Epoch, now)
	reply := r.describe(true, Accepted)
	reply.Journal = r.journal.unpack()
	return reply
}

// promise records a promise. Repeating it for the same epoch does not extend its
// validity.
func (r *record) promise(epoch Epoch, now time.Time) {
	if r.promised != epoch {
		r.promised, r.promisedAt = epoch, now
	}
	r.touchedAt = now
}

// describe returns a reply that describes the record without its tokens.
func (r *record) describe(ok bool, refusal Refusal) PromiseReply {
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

// Write handles a Write message.
func (k *Keeper) Write(w Write, now time.Time) WriteReply {
	refuse := func(why Refusal, promised Epoch) WriteReply {
		return WriteReply{ID: w.ID, Epoch: w.Epoch, Refusal: why, Promised: promised}
	}
	if refusal := k.check(w.Incarnation, w.Epoch.Version); refusal != Accepted {
		return refuse(refusal, Epoch{})
	}
	r := k.records[w.ID]
	if r == nil && !w.Reserve {
		return refuse(NoPromise, Epoch{})
	}
	if old := k.tombstones[w.ID].epoch; r == nil && !old.Less(w.Epoch) && !old.IsZero() {
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
	case w.Install && !r.mayInstall(w.Epoch, now, k.limits.PromiseValidity):
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
	r.promised, r.accepted, r.touchedAt = w.Epoch, w.Epoch, now
	return WriteReply{
		ID: w.ID, Epoch: w.Epoch, Held: r.journal.len(), Finished: r.journal.finish != "",
		Promised: r.promised, Source: r.source.Number, Touch: w.Touch,
	}
}

// mayInstall reports whether an installation may be accepted: there is a valid
// promise for its epoch, or the record already holds the journal of that epoch.
func (r *record) mayInstall(epoch Epoch, now time.Time, validity time.Duration) bool {
	return r.accepted == epoch || (r.promised == epoch && now.Sub(r.promisedAt) < validity)
}

// install replaces the complete journal, unless the same epoch has already
// written more: messages may arrive late or twice.
func (r *record) install(w Write) {
	if r.accepted == w.Epoch && w.Span.End() <= r.journal.len() {
		return
	}
	r.request = w.Request
	r.journal = packedJournal{finish: w.Finish, usage: w.Usage}
	r.journal.add(w.Span.Tokens, w.Span.Texts)
	r.source = Source{}
	if w.Source != nil {
		r.source = *w.Source
	}
}

// extend appends tokens and returns the number of bytes that they take.
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

// Sweep forgets expired records and returns how many of them were unfinished
// journals. A journal with an owner is touched regularly and does not expire.
func (k *Keeper) Sweep(now time.Time) int {
	abandoned := 0
	for id, r := range k.records {
		if now.Sub(r.touchedAt) < k.retention(r) {
			continue
		}
		if r.request != nil && r.journal.finish == "" {
			abandoned++
		}
		if len(k.tombstones) >= epochsPerJournal*k.limits.MaxJournals {
			break
		}
		k.tombstones[id] = tombstone{r.promised, now}
		k.bytes -= r.bytes
		delete(k.records, id)
	}
	for id, r := range k.tombstones {
		if now.Sub(r.forgottenAt) >= k.limits.EpochRetention {
			delete(k.tombstones, id)
		}
	}
	return abandoned
}

func (k *Keeper) retention(r *record) time.Duration {
	switch {
	case r.request == nil:
		return k.limits.PromiseRetention
	case r.journal.finish != "":
		return k.limits.FinishedRetention
	default:
		return k.limits.AbandonedRetention
	}
}
