package call

import (
	"fmt"

	"github.com/amaranthshelf/amaranthshelf/internal/codec"
)

// InvariantError reports a broken invariant of this package. The command that
// caused it is refused.
type InvariantError struct{ What string }

// Error implements error.
func (e *InvariantError) Error() string { return "call: invariant broken: " + e.What }

// claim is the claim of one key.
type claim struct {
	ref       Ref
	request   Digest
	claimant  string
	state     State
	attempt   int
	claimedMS int64 // by the state machine's clock
	grantedMS int64 // by the control group's clock, at the last permission
	answer    *Answer
}

// StateMachine holds the claims. It implements control.StateMachine and is not safe
// for concurrent use: the control group serializes its commands.
type StateMachine struct {
	limits Limits
	claims map[Ref]*claim
	order  []*claim // by claim time
	keys   *usedKeys
	clock  clock
	bytes  map[string]int // of answers and reservations, by workspace
	counts map[string]int // of claims, by workspace
	total  int            // sum of bytes
}

// NewStateMachine returns an empty StateMachine.
func NewStateMachine(l Limits) *StateMachine {
	return &StateMachine{
		limits: l, claims: map[Ref]*claim{}, keys: newUsedKeys(l.KeyRetention + maxKeyClockSkew),
		bytes: map[string]int{}, counts: map[string]int{},
	}
}

// Version implements control.StateMachine. It always returns 0: the control group sends a
// state machine's changes to all VMs when its version increases, and no VM follows the
// claims. A VM looks up a claim when it needs it, and a call on one VM causes no work on
// the others.
func (p *StateMachine) Version() uint64 { return 0 }

// Changes implements control.StateMachine. It returns nil; see Version.
func (p *StateMachine) Changes(uint64) []byte { return nil }

// Apply executes an encoded Command and returns an encoded Reply.
func (p *StateMachine) Apply(nowMS int64, data []byte) []byte {
	var cmd Command
	reply := Reply{Verdict: Malformed}
	if err := codec.Unmarshal(data, &cmd); err == nil {
		reply = p.Execute(nowMS, &cmd)
	}
	out, err := codec.Marshal(&reply)
	if err != nil {
		panic(err) // cannot happen: a struct of numbers, strings and bytes always encodes
	}
	return out
}

// Execute executes a command. nowMS is the control group's time.
func (p *StateMachine) Execute(nowMS int64, cmd *Command) Reply {
	p.clock.advance(nowMS)
	p.expire()
	switch {
	case cmd.Claim != nil:
		return p.claim(nowMS, cmd.Claim)
	case cmd.Lookup != nil:
		return p.lookup(nowMS, cmd.Lookup)
	case cmd.Renew != nil:
		return p.renew(nowMS, cmd.Renew)
	case cmd.Finish != nil:
		return p.finish(nowMS, cmd.Finish)
	case cmd.Seal != nil:
		return p.seal(nowMS, cmd.Seal)
	default:
		return Reply{Verdict: Malformed}
	}
}

func (p *StateMachine) claim(nowMS int64, c *Claim) Reply {
	if reply := p.lookup(nowMS, &Lookup{Ref: c.Ref, Request: c.Request}); reply.Verdict != Unclaimed {
		return reply
	}
	if p.full(c.Ref.Workspace) {
		return Reply{Verdict: Full}
	}
	cl := &claim{
		ref: c.Ref, request: c.Request, claimant: c.Claimant, state: Granted, attempt: 1,
		claimedMS: p.clock.MS, grantedMS: nowMS,
	}
	p.claims[c.Ref] = cl
	p.order = append(p.order, cl)
	p.counts[c.Ref.Workspace]++
	p.charge(c.Ref.Workspace, p.limits.MaxAnswerBytes)
	p.keys.add(p.clock.MS, c.Ref.Workspace, keyDigest(c.Ref))
	return Reply{Verdict: Permitted, State: Granted, Claimant: cl.claimant, Attempt: 1}
}

func (p *StateMachine) lookup(nowMS int64, l *Lookup) Reply {
	if cl := p.claims[l.Ref]; cl != nil {
		if cl.request != l.Request {
			return Reply{Verdict: KeyReused}
		}
		return cl.reply(nowMS)
	}
	// A used key whose claim has expired must not run again, and a key older than
	// the retention may have been used before. Both are refused.
	if p.keys.has(keyDigest(l.Ref)) {
		return Reply{Verdict: KeyExpired}
	}
	if ms, ok := uuidV7Time(l.Ref.Key); ok {
		switch {
		case ms <= nowMS-p.limits.KeyRetention.Milliseconds():
			return Reply{Verdict: KeyExpired}
		case ms > nowMS+maxKeyClockSkew.Milliseconds():
			return Reply{Verdict: KeyInFuture}
		}
	}
	return Reply{Verdict: Unclaimed}
}

func (cl *claim) reply(nowMS int64) Reply {
	return Reply{
		Verdict: Claimed, State: cl.state, Claimant: cl.claimant, Attempt: cl.attempt,
		AgeMS: nowMS - cl.grantedMS, Answer: cl.answer,
	}
}

func (p *StateMachine) renew(nowMS int64, r *Renew) Reply {
	cl := p.claims[r.Ref]
	if cl == nil {
		return Reply{Verdict: KeyExpired}
	}
	own := cl.claimant == r.Claimant && cl.attempt == r.Attempt
	if cl.state != Granted || !own || cl.attempt >= p.limits.MaxAttempts {
		return cl.reply(nowMS)
	}
	cl.attempt++
	cl.grantedMS = nowMS
	return Reply{Verdict: Permitted, State: Granted, Claimant: cl.claimant, Attempt: cl.attempt}
}

func (p *StateMachine) finish(nowMS int64, f *Finish) Reply {
	cl := p.claims[f.Ref]
	if cl == nil {
		return Reply{Verdict: KeyExpired}
	}
	if cl.state != Granted || cl.claimant != f.Claimant || !f.State.Final() {
		return cl.reply(nowMS)
	}
	p.finalize(cl, f.State, f.Answer)
	return cl.reply(nowMS)
}

func (p *StateMachine) seal(nowMS int64, s *Seal) Reply {
	cl := p.claims[s.Ref]
	if cl == nil {
		return Reply{Verdict: KeyExpired}
	}
	old := nowMS-cl.grantedMS >= p.limits.SealAfter.Milliseconds()
	if cl.state == Granted && cl.claimant == s.Claimant && (old || s.ClaimantGone) {
		p.finalize(cl, Unknown, nil)
	}
	return cl.reply(nowMS)
}

// finalize makes a claim final and replaces its memory reservation by the answer's
// size.
func (p *StateMachine) finalize(cl *claim, s State, a *Answer) {
	cl.state = s
	if s == Done {
		cl.answer = a.bounded(p.limits.MaxAnswerBytes)
	}
	p.charge(cl.ref.Workspace, cl.answer.size()-p.limits.MaxAnswerBytes)
}

// bounded returns the answer, without its body if that is too large to be kept.
func (a *Answer) bounded(limit int) *Answer {
	if a == nil {
		return &Answer{NoBody: true}
	}
	if a.size() <= limit {
		return a
	}
	out := &Answer{Status: a.Status, Headers: a.Headers, NoBody: true}
	if out.size() > limit {
		out.Headers = nil
	}
	return out
}

func (p *StateMachine) charge(workspace string, n int) {
	p.total += n
	if p.bytes[workspace] += n; p.bytes[workspace] == 0 {
		delete(p.bytes, workspace)
	}
}

// full reports whether a new claim of the workspace would exceed a limit.
func (p *StateMachine) full(workspace string) bool {
	l := &p.limits
	need := l.MaxAnswerBytes
	return len(p.claims) >= l.MaxClaims || p.counts[workspace] >= l.MaxClaims/workspaceDivisor ||
		p.total+need > l.MaxTotalBytes || p.bytes[workspace]+need > l.MaxTotalBytes/workspaceDivisor ||
		p.keys.total >= l.MaxKeys || p.keys.byWorkspace[workspace] >= l.MaxKeys/workspaceDivisor
}

// maxExpiredPerCommand bounds the work that one command does for expired claims.
const maxExpiredPerCommand = 256

func (p *StateMachine) expire() {
	n := 0
	for n < len(p.order) && p.clock.MS-p.order[n].claimedMS >= p.limits.ClaimRetention.Milliseconds() {
		if n == maxExpiredPerCommand {
			break
		}
		p.forget(p.order[n])
		p.order[n] = nil
		n++
	}
	p.order = p.order[n:]
	// A key must outlive its claim, also if many claims expire at once.
	if n < maxExpiredPerCommand {
		p.keys.expire(p.clock.MS)
	}
}

// forget removes a claim. Its key remains in usedKeys, and a late resend is
// refused.
func (p *StateMachine) forget(cl *claim) {
	if !p.keys.has(keyDigest(cl.ref)) {
		panic(&InvariantError{fmt.Sprintf("used key %q was removed before its claim", cl.ref.Key)})
	}
	held := cl.answer.size()
	if cl.state == Granted {
		held = p.limits.MaxAnswerBytes
	}
	p.charge(cl.ref.Workspace, -held)
	if p.counts[cl.ref.Workspace]--; p.counts[cl.ref.Workspace] == 0 {
		delete(p.counts, cl.ref.Workspace)
	}
	delete(p.claims, cl.ref)
}
