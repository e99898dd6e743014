package control

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/amaranthshelf/amaranthshelf/internal/peer"
)

// The load pattern. A part of the voters is lost without a word, or stands on the
// side of a partition that cannot confirm anything, and a change is committed by the
// others. A VM whose poll one of the lost ones holds cannot tell that from a quiet
// moment until the hold is over. If it then asked the next ones in turn, each for as
// long, three lost voters would keep it on an old list for more than three seconds
// after the change was acknowledged.
//
// So a voter that is late is not waited for: the next one is asked beside it, at once
// for a confirmed answer, and the first answer counts. At worst the VM is one hold and
// some tenths of a second behind, however many voters are lost. Answers are small; what
// they tell of is fetched once, by its reference.

const (
	// lateAfter is how much longer than its hold a voter may take.
	lateMargin = 150 * time.Millisecond
	// hedgeEvery is the pause before a further voter is asked: a confirmation takes a
	// round trip to the leader and one of the leader's to its followers.
	hedgeInterval = 150 * time.Millisecond
	// refusedPause is the same after a voter that refused: it is as a rule starting or
	// ending, and all its followers turn to the next ones.
	refusalDelay = 10 * time.Millisecond
)

// answered is a voter's answer to a poll, or the lack of one.
type pollResult struct {
	voter string
	sent  time.Time
	reply pollReply
	err   error
	polls int // polls of the same race, this one included
}

// startingWith rotates an order of voters to one of them, if it is there.
func rotateTo(voter string, order []string) []string {
	at := max(0, slices.Index(order, voter))
	return slices.Concat(order[at:], order[:at])
}

// race polls the first voter, and each next one beside those before it while none has
// answered. It returns the first answer.
func (f *Feed) hedgedPoll(order []string) (pollResult, bool) {
	ctx, cancel := context.WithTimeout(f.ctx, f.hedgedPollTimeout(len(order)))
	defer cancel()
	answers := make(chan pollResult, len(order))
	pending, next := 0, 0
	needLease := f.needsLease()
	// ask polls one more voter and returns how long that one stands alone.
	ask := func() time.Duration {
		voter, urgent := order[next], needLease || next > 0
		go func() { answers <- f.poll(ctx, voter, urgent) }()
		pending, next = pending+1, next+1
		return f.hedgeDelay(urgent)
	}
	if len(order) == 0 {
		return pollResult{}, false
	}
	wait := time.NewTimer(ask())
	defer wait.Stop()
	for f.ctx.Err() == nil && (pending > 0 || next < len(order)) {
		select {
		case <-wait.C:
			if next < len(order) { // else those asked have until the end of ctx
				wait.Reset(ask())
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

// patience is how long a poll stands alone.
func (f *Feed) hedgeDelay(urgent bool) time.Duration {
	if urgent {
		return hedgeInterval
	}
	return pollHold(f.o.Lease) + lateMargin
}

// raceTimeout bounds a round in which every voter is asked and none answers.
func (f *Feed) hedgedPollTimeout(voters int) time.Duration {
	return f.hedgeDelay(false) + time.Duration(voters)*hedgeInterval
}

// needsLease reports whether half of the lease is gone: the rest is time for one more
// poll and another voter.
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
	f.o.Log.Debug().Err(err).Str("voter", voter).Msg("watch failed")
	f.mu.Lock()
	defer f.mu.Unlock()
	f.failures++
}
