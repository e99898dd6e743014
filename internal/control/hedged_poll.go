package control

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/amaranthshelf/amaranthshelf/internal/peer"
)

// This file answers the loss of voters. Some voters fail silently or are on the minority
// side of a partition, and the other voters commit a change. A VM with a long poll at a
// failed voter cannot distinguish the failure from a period without changes until the
// hold time has passed. If it then polled the next voters one after the other with the
// same timeout, three failed voters would keep it on an old list for more than three
// seconds after the change was acknowledged.
//
// For this reason polls are hedged. When a voter is late, the VM polls the next one in
// addition and requests a confirmed answer from it at once. The first answer is used.
// The VM lags by at most one hold time and some tenths of a second, however many voters
// have failed. The answers are small, since they carry references to large changes,
// which are fetched once.

const (
	// lateMargin is added to the hold time before a voter counts as late.
	lateMargin = 150 * time.Millisecond
	// hedgeInterval is the delay before a further voter is polled. A confirmation takes
	// a round trip to the leader and one from the leader to its followers.
	hedgeInterval = 150 * time.Millisecond
	// refusalDelay is the delay before a further voter is polled after a voter has
	// refused. It is shorter than hedgeInterval because no answer of the refusing voter
	// is left to wait for. It is not zero because such a voter is usually starting or
	// shutting down: all VMs that poll it then turn to the other voters, and the delay
	// keeps each VM from polling several of them at once.
	refusalDelay = 10 * time.Millisecond
)

// pollResult is a voter's answer to a poll, or the error instead of one.
type pollResult struct {
	voter string
	sent  time.Time
	reply pollReply
	err   error
	polls int // polls sent in the same round, this one included
}

// rotateTo rotates an order of voters to start with one of them, if the order contains it.
func rotateTo(voter string, order []string) []string {
	at := max(0, slices.Index(order, voter))
	return slices.Concat(order[at:], order[:at])
}

// hedgedPoll polls the first voter, and after each delay without an answer one more in
// addition. It returns the first valid answer.
func (f *Feed) hedgedPoll(order []string) (pollResult, bool) {
	ctx, cancel := context.WithTimeout(f.ctx, f.hedgedPollTimeout(len(order)))
	defer cancel()
	answers := make(chan pollResult, len(order))
	pending, next := 0, 0
	needLease := f.needsLease()
	// pollNext polls one more voter and returns the delay before the next hedge.
	pollNext := func() time.Duration {
		voter, urgent := order[next], needLease || next > 0
		go func() { answers <- f.poll(ctx, voter, urgent) }()
		pending, next = pending+1, next+1
		return f.hedgeDelay(urgent)
	}
	if len(order) == 0 {
		return pollResult{}, false
	}
	wait := time.NewTimer(pollNext())
	defer wait.Stop()
	for f.ctx.Err() == nil && (pending > 0 || next < len(order)) {
		select {
		case <-wait.C:
			if next < len(order) { // without further voters, the polls sent have until the end of ctx
				wait.Reset(pollNext())
			}
		case a := <-answers:
			pending--
			a.polls = next
			if a.err == nil {
				a.err = f.checkGroup(a)
			}
			if a.err == nil {
				return a, true
			}
			f.recordFailure(a.voter, a.err)
			wait.Reset(refusalDelay)
		}
	}
	return pollResult{}, false
}

// hedgeDelay is the time between a poll and the next hedge.
func (f *Feed) hedgeDelay(urgent bool) time.Duration {
	if urgent {
		return hedgeInterval
	}
	return pollHold(f.o.Lease) + lateMargin
}

// hedgedPollTimeout bounds a round in which every voter is polled and none answers.
func (f *Feed) hedgedPollTimeout(voters int) time.Duration {
	return f.hedgeDelay(false) + time.Duration(voters)*hedgeInterval
}

// needsLease reports whether half of the lease has passed. The remaining half allows for
// one more poll and another voter.
func (f *Feed) needsLease() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return time.Until(f.leaseEnd) < f.o.Lease/2
}

func (f *Feed) poll(ctx context.Context, voter string, needLease bool) pollResult {
	f.mu.Lock()
	q := pollRequest{Versions: maps.Clone(f.versions), NeedLease: needLease}
	f.polls++
	f.mu.Unlock()
	a := pollResult{voter: voter, sent: time.Now()}
	a.err = f.o.Transport.Call(ctx, voter, peer.KindWatch, q, &a.reply)
	return a
}

func (f *Feed) recordFailure(voter string, err error) {
	f.o.Log.Debug().Err(err).Str("voter", voter).Msg("poll failed")
	f.mu.Lock()
	defer f.mu.Unlock()
	f.failures++
}
