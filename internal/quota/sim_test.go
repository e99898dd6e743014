package quota

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/amaranthshelf/amaranthshelf/internal/plan"
	"github.com/amaranthshelf/amaranthshelf/internal/virtualtime"
)

// simulation runs a ledger and some routers on one virtual clock. Messages take 1 to
// 4 ms each way and may be lost or repeated. It counts what is charged to each
// window independently of the ledger, from the tickets alone.
type simulation struct {
	*virtualtime.Queue

	rng      *rand.Rand
	registry *plan.Registry
	ledger   *plan.Ledger
	vms      []*vm

	lossShare, repeatShare float64
	fail                   func(format string, args ...any)

	charged         map[string]int64 // tokens by window: reserved for running calls and used by completed ones
	used            map[string]int64 // tokens by window, of calls that ended
	limits          map[string]int64 // tokens by window: the highest allowance in force during it
	peakConcurrency int              // maximum number of calls running on live VMs
	accepted        int
	refused         int
	messages        int
	bytes           int // of messages and replies
}

type vm struct {
	name     string
	core     *Core
	dead     bool
	paused   bool
	running  int
	inFlight int // messages awaiting a reply
}

type call struct {
	t    *Ticket
	key  string
	used int64
}

var epoch = time.UnixMilli(1_800_000_000_000) // a multiple of the windows used here

func newSimulation(seed uint64, vms int, fail func(format string, args ...any)) *simulation {
	w := &simulation{
		Queue: virtualtime.New(epoch), rng: rand.New(rand.NewPCG(seed, 1)), fail: fail, registry: plan.NewRegistry(),
		charged: map[string]int64{}, used: map[string]int64{}, limits: map[string]int64{},
	}
	w.ledger = plan.NewLedger(w.registry, w.invariantBroken)
	for i := range vms {
		w.startVM(fmt.Sprintf("vm%d", i))
	}
	return w
}

func (w *simulation) invariantBroken(err error) { w.fail("%v", err) }

func (w *simulation) startVM(name string) {
	v := &vm{name: name, core: NewCore(name, fmt.Sprint(len(w.vms)))}
	w.vms = append(w.vms, v)
	w.scheduleTick(v)
}

func (w *simulation) scheduleTick(v *vm) {
	w.After(tickInterval, func() {
		if !v.dead {
			w.pump(v)
			w.scheduleTick(v)
		}
	})
}

func (w *simulation) run(d time.Duration) { w.Run(w.Now().Add(d)) }

func (w *simulation) setAllowance(a plan.Allowance) {
	row, _ := w.registry.Allowance(a.Plan)
	w.execute(plan.Command{Action: plan.SetAllowance, Name: a.Plan, Allowance: &a, IfMatch: row.Version, Create: row.Version == 0})
	if _, ok := w.registry.Customer("hot"); !ok {
		w.execute(plan.Command{Action: plan.SetCustomer, Name: "hot", Customer: &plan.Customer{Workspace: "hot", Plan: a.Plan}, Create: true})
	}
	for _, v := range w.vms {
		w.After(w.delay(), func() {
			v.core.Recall(func(string) (plan.Allowance, bool) { return a, true })
			w.pump(v)
		})
	}
}

func (w *simulation) execute(c plan.Command) {
	if r := w.registry.Execute(w.Now().UnixMilli(), c); r.Err() != nil {
		w.fail("%v", r.Err())
	}
}

func (w *simulation) allowance() plan.Allowance {
	row, _ := w.registry.Allowance("p")
	return row.Allowance
}

func (w *simulation) delay() time.Duration {
	return time.Duration(1000+w.rng.IntN(3000)) * time.Microsecond
}

// pump sends the router's next message, and repeats it after 100 ms without a reply.
func (w *simulation) pump(v *vm) {
	if v.dead || v.paused || v.inFlight > 0 {
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
	v.inFlight++
	w.After(resendDelay, func() { w.resend(v, s.Seq) })
	w.deliver(v, data)
}

func (w *simulation) resend(v *vm, seq uint64) {
	if v.core.inflight == nil || v.core.inflight.Seq != seq {
		return
	}
	v.inFlight = 0
	w.pump(v)
}

func (w *simulation) deliver(v *vm, data []byte) {
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
		w.After(w.delay(), func() { w.receiveReply(v, reply) })
	})
}

func (w *simulation) receiveReply(v *vm, data []byte) {
	var r plan.SyncReply
	if err := cbor.Unmarshal(data, &r); err != nil {
		w.fail("%v", err)
	}
	if v.dead || v.paused || v.core.inflight == nil || v.core.inflight.Seq != r.Seq {
		return
	}
	v.inFlight = 0
	v.core.ApplyReply(w.Now(), r)
	if v.core.Urgent() {
		w.pump(v)
	}
}

// request starts a call on a VM. It runs for the given duration and uses part of its
// reserved cost.
func (w *simulation) request(v *vm, id string, cost, used int64, duration time.Duration) {
	t, err := v.core.Reserve(w.Now(), Request{ID: id, Workspace: "hot", Allowance: w.allowance(), Tokens: cost})
	if err != nil {
		w.refused++
		return
	}
	if v.core.Urgent() {
		w.pump(v)
	}
	w.await(v, &call{t: t, used: used}, w.Now().Add(maxWait), duration)
}

func (w *simulation) await(v *vm, c *call, deadline time.Time, duration time.Duration) {
	select {
	case <-c.t.done:
	default:
		if w.Now().After(deadline) {
			v.core.Settle(c.t, false, 0)
			w.refused++
			return
		}
		w.After(4*time.Millisecond, func() { w.await(v, c, deadline, duration) })
		return
	}
	if c.t.err != nil || v.dead {
		w.refused++
		return
	}
	w.accepted++
	w.beginCall(v, c)
	w.After(duration, func() { w.endCall(v, c) })
}

// beginCall charges the whole reservation to its window. endCall reduces the charge
// to what was used.
func (w *simulation) beginCall(v *vm, c *call) {
	c.key = fmt.Sprint(c.t.window)
	w.charged[c.key] += c.t.cost.Tokens
	w.limits[c.key] = max(w.limits[c.key], w.allowance().TokensPerWindow)
	v.running++
	sum := 0
	for _, other := range w.vms {
		if !other.dead {
			sum += other.running
		}
	}
	w.peakConcurrency = max(w.peakConcurrency, sum)
	if w.charged[c.key] > w.limits[c.key] {
		w.fail("window %s: %d tokens charged, want at most %d", c.key, w.charged[c.key], w.limits[c.key])
	}
}

func (w *simulation) endCall(v *vm, c *call) {
	w.used[c.key] += c.used // also on a dead VM, as another VM takes the call over
	if v.dead {
		return
	}
	v.running--
	w.charged[c.key] -= c.t.cost.Tokens - c.used
	v.core.Settle(c.t, true, c.used)
	if w.charged[c.key] < 0 {
		w.fail("window %s: the charged tokens are negative", c.key)
	}
}

// load starts calls on random live VMs until the given time, perSecond on average
// with exponential intervals.
func (w *simulation) load(perSecond float64, until time.Time, draw func() (cost, used int64, duration time.Duration)) {
	if w.Now().After(until) {
		return
	}
	w.After(time.Duration(w.rng.ExpFloat64()/perSecond*float64(time.Second)), func() {
		v := w.vms[w.rng.IntN(len(w.vms))]
		if !v.dead && !v.paused {
			cost, used, duration := draw()
			w.request(v, fmt.Sprint(w.accepted, "-", w.refused, "-", w.Now().UnixNano()), cost, used, duration)
		}
		w.load(perSecond, until, draw)
	})
}
