package quota

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/amaranthshelf/amaranthshelf/internal/plan"
	"github.com/amaranthshelf/amaranthshelf/internal/virtualtime"
)

// world is a ledger and some routers on one virtual clock. Messages take 1 to 4
// ms each way and may be lost or repeated. It keeps its own account of what is
// charged to each window, from the tickets alone.
type world struct {
	*virtualtime.Queue

	rng    *rand.Rand
	book   *plan.Registry
	ledger *plan.Ledger
	vms    []*vm

	lossShare, repeatShare float64
	fail                   func(format string, args ...any)

	charged  map[string]int64 // by window: reserved while it runs, then used
	used     map[string]int64 // by window: used so far by answers that ended
	limits   map[string]int64 // the highest allowance seen in the window
	tooMany  int              // most concurrency in use over all live VMs
	accepted int
	refused  int
	messages int
	bytes    int // of messages and their answers
}

type vm struct {
	name     string
	core     *Core
	dead     bool
	paused   bool
	running  int
	exchange int // messages under way
}

type answer struct {
	t    *Ticket
	key  string
	used int64
}

var epoch = time.UnixMilli(1_800_000_000_000) // a multiple of the windows used here

func newWorld(seed uint64, vms int, fail func(format string, args ...any)) *world {
	w := &world{
		Queue: virtualtime.New(epoch), rng: rand.New(rand.NewPCG(seed, 1)), fail: fail, book: plan.NewRegistry(),
		charged: map[string]int64{}, used: map[string]int64{}, limits: map[string]int64{},
	}
	w.ledger = plan.NewLedger(w.book, w.broken)
	for i := range vms {
		w.start(fmt.Sprintf("vm%d", i))
	}
	return w
}

func (w *world) broken(err error) { w.fail("%v", err) }

func (w *world) start(name string) {
	v := &vm{name: name, core: NewCore(name, fmt.Sprint(len(w.vms)))}
	w.vms = append(w.vms, v)
	w.ticks(v)
}

func (w *world) ticks(v *vm) {
	w.After(tick, func() {
		if !v.dead {
			w.pump(v)
			w.ticks(v)
		}
	})
}

func (w *world) run(d time.Duration) { w.Run(w.Now().Add(d)) }

func (w *world) allow(a plan.Allowance) {
	row, _ := w.book.Allowance(a.Plan)
	w.do(plan.Command{Action: plan.SetAllowance, Name: a.Plan, Allowance: &a, IfMatch: row.Version, Create: row.Version == 0})
	if _, ok := w.book.Customer("hot"); !ok {
		w.do(plan.Command{Action: plan.SetCustomer, Name: "hot", Customer: &plan.Customer{Workspace: "hot", Plan: a.Plan}, Create: true})
	}
	for _, v := range w.vms {
		w.After(w.delay(), func() {
			v.core.Recall(func(string) (plan.Allowance, bool) { return a, true })
			w.pump(v)
		})
	}
}

func (w *world) do(c plan.Command) {
	if r := w.book.Do(w.Now().UnixMilli(), c); r.Err() != nil {
		w.fail("%v", r.Err())
	}
}

func (w *world) allowance() plan.Allowance {
	row, _ := w.book.Allowance("p")
	return row.Allowance
}

func (w *world) delay() time.Duration { return time.Duration(1000+w.rng.IntN(3000)) * time.Microsecond }

// pump sends what a router has to send, again after 100 ms without an answer.
func (w *world) pump(v *vm) {
	if v.dead || v.paused || v.exchange > 0 {
		return
	}
	s, ok := v.core.Next(w.Now())
	if !ok {
		return
	}
	w.messages++
	data, err := cbor.Marshal(s)
	if err != nil {
		w.fail("%v", err)
	}
	w.bytes += len(data)
	v.exchange++
	w.After(resendPause, func() { w.resend(v, s.Seq) })
	w.deliver(v, data)
}

func (w *world) resend(v *vm, seq uint64) {
	if v.core.inflight == nil || v.core.inflight.Seq != seq {
		return
	}
	v.exchange = 0
	w.pump(v)
}

func (w *world) deliver(v *vm, data []byte) {
	if w.rng.Float64() < w.lossShare {
		return
	}
	if w.rng.Float64() < w.repeatShare {
		w.After(time.Duration(w.rng.IntN(3000))*time.Millisecond, func() { w.ledger.Apply(w.Now().UnixMilli(), data) })
	}
	w.After(w.delay(), func() {
		reply := w.ledger.Apply(w.Now().UnixMilli(), data)
		w.bytes += len(reply)
		if w.rng.Float64() < w.lossShare {
			return
		}
		w.After(w.delay(), func() { w.answer(v, reply) })
	})
}

func (w *world) answer(v *vm, data []byte) {
	var r plan.SyncReply
	if err := cbor.Unmarshal(data, &r); err != nil {
		w.fail("%v", err)
	}
	if v.dead || v.paused || v.core.inflight == nil || v.core.inflight.Seq != r.Seq {
		return
	}
	v.exchange = 0
	v.core.ApplyReply(w.Now(), r)
	if v.core.Urgent() {
		w.pump(v)
	}
}

// request is one call on a VM; its answer takes the given time and uses part of
// what it may.
func (w *world) request(v *vm, id string, cost, used int64, takes time.Duration) {
	t, err := v.core.Reserve(w.Now(), Request{ID: id, Workspace: "hot", Allowance: w.allowance(), Tokens: cost})
	if err != nil {
		w.refused++
		return
	}
	if v.core.Urgent() {
		w.pump(v)
	}
	w.await(v, &answer{t: t, used: used}, w.Now().Add(waitLimit), takes)
}

func (w *world) await(v *vm, a *answer, deadline time.Time, takes time.Duration) {
	select {
	case <-a.t.done:
	default:
		if w.Now().After(deadline) {
			v.core.Settle(a.t, false, 0)
			w.refused++
			return
		}
		w.After(4*time.Millisecond, func() { w.await(v, a, deadline, takes) })
		return
	}
	if a.t.err != nil || v.dead {
		w.refused++
		return
	}
	w.accepted++
	w.begin(v, a)
	w.After(takes, func() { w.finish(v, a) })
}

// begin charges the whole reservation to its window, finish only what was used.
func (w *world) begin(v *vm, a *answer) {
	a.key = fmt.Sprint(a.t.window)
	w.charged[a.key] += a.t.cost.Tokens
	w.limits[a.key] = max(w.limits[a.key], w.allowance().TokensPerWindow)
	v.running++
	sum := 0
	for _, other := range w.vms {
		if !other.dead {
			sum += other.running
		}
	}
	w.tooMany = max(w.tooMany, sum)
	if w.charged[a.key] > w.limits[a.key] {
		w.fail("window %s: %d tokens charged of %d", a.key, w.charged[a.key], w.limits[a.key])
	}
}

func (w *world) finish(v *vm, a *answer) {
	w.used[a.key] += a.used // also on a dead VM: another took the answer over
	if v.dead {
		return
	}
	v.running--
	w.charged[a.key] -= a.t.cost.Tokens - a.used
	v.core.Settle(a.t, true, a.used)
	if w.charged[a.key] < 0 {
		w.fail("window %s: less than nothing charged", a.key)
	}
}

// load calls on random live VMs, perSecond in the mean, until the time is up.
func (w *world) load(perSecond float64, until time.Time, draw func() (cost, used int64, takes time.Duration)) {
	if w.Now().After(until) {
		return
	}
	w.After(time.Duration(w.rng.ExpFloat64()/perSecond*float64(time.Second)), func() {
		v := w.vms[w.rng.IntN(len(w.vms))]
		if !v.dead && !v.paused {
			cost, used, takes := draw()
			w.request(v, fmt.Sprint(w.accepted, "-", w.refused, "-", w.Now().UnixNano()), cost, used, takes)
		}
		w.load(perSecond, until, draw)
	})
}
