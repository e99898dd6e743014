package admission

import (
	"math/rand/v2"
	"time"
)

// Queue is the admission queue of one pool of backend servers. It is not safe
// for concurrent use.
type Queue struct {
	bounds   Bounds
	rng      *rand.Rand
	onExpire func(*Item)

	classes [classCount]class
	flows   map[flowKey]*flow
	byKey   map[string]*Item
	vtime   float64 // among classes
	count   int
	bytes   int

	capacity int // slots
	running  int
	recovery float64       // cost that recovery may still run ahead of fresh work
	slotRate float64       // cost a slot serves in a second
	typical  float64       // cost of a request
	lead     time.Duration // usual time from start to first token
}

type flowKey struct {
	class     Class
	workspace string
}

// maxIdleFlows bounds remembered flows without items.
const maxIdleFlows = 1 << 15

// NewQueue returns an empty queue. onExpire is told of items that are found
// expired while the next one is looked for.
func NewQueue(b Bounds, rng *rand.Rand, onExpire func(*Item)) *Queue {
	return &Queue{
		bounds: b, rng: rng, onExpire: onExpire, slotRate: slotRatePrior, recovery: recoveryBurst,
		flows: map[flowKey]*flow{}, byKey: map[string]*Item{},
	}
}

// SetCapacity sets how many requests may run at once.
func (q *Queue) SetCapacity(slots int) { q.capacity = slots }

// Len is the number of waiting requests, Running that of running ones.
func (q *Queue) Len() int { return q.count }

// Running is the number of running requests.
func (q *Queue) Running() int { return q.running }

// Capacity is the number of slots.
func (q *Queue) Capacity() int { return q.capacity }

// Get returns the waiting or running item of a key: a resend attaches to it.
func (q *Queue) Get(key string) *Item { return q.byKey[key] }

// Enter takes a request in or refuses it. A refusal costs two lookups and no
// memory, so a storm of retries does not displace work.
func (q *Queue) Enter(it *Item, now time.Time) Decision {
	if q.byKey[it.Key] != nil {
		return Decision{Verdict: Attached}
	}
	f := q.flow(it)
	d := q.judge(it, f, now)
	if d.Refused() {
		return d
	}
	it.state, it.since = Waiting, now
	q.byKey[it.Key] = it
	c := &q.classes[it.Class]
	if c.count == 0 {
		c.tag = max(c.tag, q.vtime)
	}
	c.push(it, f)
	q.count++
	q.bytes += it.Bytes
	return d
}

func (q *Queue) flow(it *Item) *flow {
	key := flowKey{it.Class, it.Workspace}
	f := q.flows[key]
	if f == nil {
		q.forgetIdle()
		f = &flow{workspace: it.Workspace, class: &q.classes[it.Class], pos: -1, weight: max(1, it.Weight)}
		q.flows[key] = f
	}
	if f.pos < 0 {
		f.weight = max(1, it.Weight) // a changed share counts from the next idle moment
	}
	return f
}

func (q *Queue) forgetIdle() {
	if len(q.flows) < maxIdleFlows {
		return
	}
	for key, f := range q.flows {
		if f.pos < 0 && f.tag <= f.class.vtime {
			delete(q.flows, key)
		}
	}
}

func (q *Queue) judge(it *Item, f *flow, now time.Time) Decision {
	if it.Class == Recovery {
		return Decision{Verdict: Queued}
	}
	wait := q.wait(it, f)
	d := Decision{Verdict: Queued, Wait: wait}
	allowed := policies[it.Class].maxWait
	if !it.Deadline.IsZero() {
		allowed = time.Duration(queueShare * float64(q.startBy(it).Sub(now)))
	}
	switch {
	case !it.Deadline.IsZero() && wait > allowed:
		d.Verdict = DeadlineTooSoon
	case wait > allowed:
		d.Verdict = QueueFull
		if q.isHog(f) {
			d.Verdict = WorkspaceBacklog
		}
	case float64(f.count+1) > max(1, workspaceShare*float64(q.bounds.Count)):
		d.Verdict = WorkspaceBacklog
	case q.count >= q.bounds.Count || q.bytes+it.Bytes > q.bounds.Bytes:
		d.Verdict = QueueFull
	}
	if d.Refused() {
		d.RetryAfter = q.retryAfter(wait)
	}
	return d
}

// startBy is when a request must start for its first token to come in time.
func (q *Queue) startBy(it *Item) time.Time { return it.Deadline.Add(-q.lead) }

// FirstToken notes that a running request has its first token.
func (q *Queue) FirstToken(it *Item, now time.Time) {
	if it.state == Running {
		q.lead += time.Duration(leadGain * float64(now.Sub(it.since)-q.lead))
	}
}

// isHog reports whether it is the workspace's own backlog that makes it wait:
// more than its fair part of the class's.
func (q *Queue) isHog(f *flow) bool {
	active := len(f.class.heap)
	return active > 1 && f.backlog > 2*f.class.backlog/float64(active)
}

// Next starts the next request, or returns nil if no slot is free or nobody
// waits.
func (q *Queue) Next(now time.Time) *Item {
	for {
		class, ok := q.nextClass()
		if !ok {
			return nil
		}
		c := &q.classes[class]
		it := c.heap[0].first
		if !it.Deadline.IsZero() && now.After(q.startBy(it)) {
			q.out(it, false)
			it.state = Expired
			q.onExpire(it)
			continue
		}
		q.start(it, now)
		return it
	}
}

// nextClass is the class to serve: recovery while its budget lasts, then by
// virtual time among those that may have a slot.
func (q *Queue) nextClass() (Class, bool) {
	slack := int(recoverySlack * float64(q.capacity))
	if q.classes[Recovery].count > 0 && q.recovery > 0 && q.running < q.capacity+slack {
		return Recovery, true
	}
	if q.running >= q.capacity {
		return 0, false
	}
	best, found := Class(0), false
	for class := range classCount {
		c := &q.classes[class]
		if c.count == 0 || (class == Long && c.running >= q.longLimit()) {
			continue
		}
		if !found || c.tag < q.classes[best].tag {
			best, found = class, true
		}
	}
	return best, found
}

func (q *Queue) longLimit() int { return max(1, int(longSlots*float64(q.capacity))) }

func (q *Queue) start(it *Item, now time.Time) {
	class := it.Class
	q.out(it, true)
	c := &q.classes[class]
	q.vtime = max(q.vtime, c.tag)
	c.tag += it.Cost / policies[class].weight
	c.running++
	q.running++
	if class == Recovery {
		q.recovery -= it.Cost
	} else {
		q.recovery = min(recoveryBurst, q.recovery+recoveryShare*it.Cost)
	}
	q.typical += typicalGain * (it.Cost - q.typical)
	q.byKey[it.Key] = it
	it.state, it.since = Running, now
}

func (q *Queue) out(it *Item, charged bool) {
	q.classes[it.Class].drop(it, charged)
	delete(q.byKey, it.Key)
	q.count--
	q.bytes -= it.Bytes
}

// Leave takes a request out: it has ended, or was given up on. whole tells that
// it ran to its end, so that its time tells the speed of a slot.
func (q *Queue) Leave(it *Item, whole bool, now time.Time) {
	switch it.state {
	case Waiting:
		q.out(it, false)
	case Running:
		delete(q.byKey, it.Key)
		q.running--
		q.classes[it.Class].running--
		if took := now.Sub(it.since); whole && took > 0 {
			q.slotRate += slotRateGain * (it.Cost/took.Seconds() - q.slotRate)
		}
	case Idle, Expired:
	}
	it.state = Idle
}
