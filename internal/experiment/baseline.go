package experiment

import (
	"time"

	"github.com/amaranthshelf/amaranthshelf/internal/routing"
)

// baseline is a router without the modules: every request goes at once to a
// random engine, whose queue is in order of arrival; nothing is limited or
// refused. A silent stream is given up after a fixed time.
type baseline struct{ w *world }

type baseRun struct {
	r *request
	a *attempt

	ended bool
	last  time.Time
}

func (b *baseline) ask(r *request) {
	u := &baseRun{r: r}
	r.state = u
	b.start(u)
}

func (b *baseline) leave(r *request) {
	if u, ok := r.state.(*baseRun); ok && !u.ended {
		u.ended = true
		u.a.engine.cancel(u.a)
	}
}

func (b *baseline) start(u *baseRun) {
	if u.ended {
		return
	}
	e := b.w.engines[b.w.rng.IntN(len(b.w.engines))]
	first := u.a == nil

	u.a = &attempt{r: u.r, engine: e, from: u.r.journal, extra: !first, token: b.token(u), broken: func(*attempt) { b.start(u) }}
	if b.w.policy.Restart {
		u.a.from = 0
	}
	u.last = b.w.Now()
	switch {
	case e.dead && e.mute:
		b.w.After(dialTimeout, func() { b.start(u) })
	case e.dead:
		b.w.After(refusedAfter, func() { b.start(u) })
	default:
		e.submit(u.a)
		b.watch(u, u.a)
	}
}

func (b *baseline) token(u *baseRun) func(*attempt) {
	return func(a *attempt) {
		if u.ended || a != u.a {
			return
		}
		u.last = b.w.Now()
		if a.from+a.made <= u.r.journal {
			return // a restart: the caller has this one
		}
		if a.extra {
			b.w.out.redeem(routing.DecodeWeight) // a new token is useful
		}
		b.w.received(u.r)
		if u.r.ended {
			u.ended = true
			a.engine.cancel(a)
		}
	}
}

// watch gives a stream up that has been silent for the fixed time. A stream
// without a first token is left alone: its engine may have a queue.
func (b *baseline) watch(u *baseRun, a *attempt) {
	limit := b.w.policy.SilenceTimeout
	b.w.After(limit, func() { b.check(u, a) })
}

func (b *baseline) check(u *baseRun, a *attempt) {
	if u.ended || u.a != a {
		return
	}
	left := u.last.Add(b.w.policy.SilenceTimeout).Sub(b.w.Now())
	if left > 0 || (a.made == 0 && !a.extra) {
		b.w.After(max(left, 100*time.Millisecond), func() { b.check(u, a) })
		return
	}
	a.engine.cancel(a)
	b.start(u)
}
