package experiment

import (
	"time"

	"github.com/amaranthshelf/amaranthshelf/internal/routing"
)

// baseline is a router without the modules. It sends every request at once to a random
// engine, which queues in order of arrival. Nothing is limited or refused. A silent
// stream is given up after a fixed timeout.
type baseline struct{ w *world }

type baselineRun struct {
	r *request
	a *attempt

	ended       bool
	lastTokenAt time.Time
}

func (b *baseline) submit(r *request) {
	u := &baselineRun{r: r}
	r.routerState = u
	b.start(u)
}

func (b *baseline) cancel(r *request) {
	if u, ok := r.routerState.(*baselineRun); ok && !u.ended {
		u.ended = true
		u.a.engine.cancel(u.a)
	}
}

func (b *baseline) start(u *baselineRun) {
	if u.ended {
		return
	}
	e := b.w.engines[b.w.rng.IntN(len(b.w.engines))]
	first := u.a == nil

	u.a = &attempt{r: u.r, engine: e, tokensBefore: u.r.tokensReceived, extra: !first, onToken: b.tokenHandler(u), onReset: func(*attempt) { b.start(u) }}
	if b.w.policy.Restart {
		u.a.tokensBefore = 0
	}
	u.lastTokenAt = b.w.Now()
	switch {
	case e.dead && e.silent:
		b.w.After(dialTimeout, func() { b.start(u) })
	case e.dead:
		b.w.After(resetDelay, func() { b.start(u) })
	default:
		e.submit(u.a)
		b.watch(u, u.a)
	}
}

func (b *baseline) tokenHandler(u *baselineRun) func(*attempt) {
	return func(a *attempt) {
		if u.ended || a != u.a {
			return
		}
		u.lastTokenAt = b.w.Now()
		if a.tokensBefore+a.generated <= u.r.tokensReceived {
			return // after a restart: the caller already has this token
		}
		if a.extra {
			b.w.out.countAsUseful(routing.DecodeWeight) // a new token is useful work
		}
		b.w.received(u.r)
		if u.r.ended {
			u.ended = true
			a.engine.cancel(a)
		}
	}
}

// watch gives up a stream that has been silent for the fixed timeout. A first attempt
// without a token is kept, because it may wait in its engine's queue.
func (b *baseline) watch(u *baselineRun, a *attempt) {
	limit := b.w.policy.SilenceTimeout
	b.w.After(limit, func() { b.check(u, a) })
}

func (b *baseline) check(u *baselineRun, a *attempt) {
	if u.ended || u.a != a {
		return
	}
	left := u.lastTokenAt.Add(b.w.policy.SilenceTimeout).Sub(b.w.Now())
	if left > 0 || (a.generated == 0 && !a.extra) {
		b.w.After(max(left, 100*time.Millisecond), func() { b.check(u, a) })
		return
	}
	a.engine.cancel(a)
	b.start(u)
}
