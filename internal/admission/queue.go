package admission

import (
	"math/rand/v2"
	"time"
)

// Queue is the admission queue of one pool of backend servers. It is not safe for
// concurrent use.
type Queue struct {
	bounds   Bounds
	rng      *rand.Rand
	onExpire func(*Item)

	classes     [classCount]class
	flows       map[flowKey]*flow
	byKey       map[string]*Item
	virtualTime float64 // virtual time among the classes
	count       int
	bytes       int

	capacity         int // slots
	running          int
	recoveryBudget   float64       // cost that recovery may still run ahead of new work
	slotRate         float64       // cost that a slot serves per second
	typicalCost      float64       // smoothed cost of a request
	timeToFirstToken time.Duration // smoothed time from start to first token
}

type flowKey struct {
	class     Class
	workspace string
}

// maxIdleFlows is the number of flows from which idle ones are removed.
const maxIdleFlows = 1 << 15

// NewQueue returns an empty queue. Next calls onExpire for each item that it finds
// expired.
func NewQueue(b Bounds, rng *rand.Rand, onExpire func(*Item)) *Queue {
	return &Queue{
		bounds: b, rng: rng, onExpire: onExpire, slotRate: slotRatePrior, recoveryBudget: recoveryBurst,
		flows: map[flowKey]*flow{}, byKey: map[string]*Item{},
	}
}

// SetCapacity sets how many requests may run at once.
func (q *Queue) SetCapacity(slots int) { q.capacity = slots }

// Len returns the number of waiting requests.
func (q *Queue) Len() int { return q.count }

// Running returns the number of running requests.
func (q *Queue) Running() int { return q.running }

// Capacity returns the number of slots.
func (q *Queue) Capacity() int { return q.capacity }

// Get returns the waiting or running item with the key, to which a retry attaches.
func (q *Queue) Get(key string) *Item { return q.byKey[key] }

// Enter accepts or refuses a request. A refusal costs two lookups and stores no request,
// which keeps a burst of retries from displacing work.
func (q *Queue) Enter(it *Item, now time.Time) Decision {
	if q.byKey[it.Key] != nil {
		return Decision{Verdict: Attached}
	}
	f := q.flow(it)
	d := q.decide(it, f, now)
	if d.Refused() {
		return d
	}
	it.state, it.since = Waiting, now
	q.byKey[it.Key] = it
	c := &q.classes[it.Class]
	if c.count == 0 {
		c.virtualStart = max(c.virtualStart, q.virtualTime)
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
		f = &flow{workspace: it.Workspace, class: &q.classes[it.Class], heapIndex: -1, weight: max(1, it.Weight)}
		q.flows[key] = f
	}
	if f.heapIndex < 0 {
		f.weight = max(1, it.Weight) // a changed share applies once the flow was idle
	}
	return f
}

func (q *Queue) forgetIdle() {
	if len(q.flows) < maxIdleFlows {
		return
	}
	for key, f := range q.flows {
		if f.heapIndex < 0 && f.virtualStart <= f.class.virtualTime {
			delete(q.flows, key)
		}
	}
}

func (q *Queue) decide(it *Item, f *flow, now time.Time) Decision {
	if it.Class == Recovery {
		return Decision{Verdict: Queued}
	}
	wait := q.wait(it, f)
	d := Decision{Verdict: Queued, Wait: wait}
	allowed := policies[it.Class].maxWait
	if !it.Deadline.IsZero() {
		allowed = time.Duration(maxWaitShare * float64(q.startBy(it).Sub(now)))
	}
	switch {
	case !it.Deadline.IsZero() && wait > allowed:
		d.Verdict = DeadlineTooSoon
	case wait > allowed:
		d.Verdict = QueueFull
		if q.exceedsFairShare(f) {
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

// startBy is the latest start at which the first token is expected before the deadline.
func (q *Queue) startBy(it *Item) time.Time { return it.Deadline.Add(-q.timeToFirstToken) }

// FirstToken records that a running request has produced its first token.
func (q *Queue) FirstToken(it *Item, now time.Time) {
	if it.state == Running {
		q.timeToFirstToken += time.Duration(timeToFirstTokenGain * float64(now.Sub(it.since)-q.timeToFirstToken))
	}
}

// exceedsFairShare reports whether a request would wait because of its own workspace's
// backlog: more than twice the mean backlog of the flows in its class.
func (q *Queue) exceedsFairShare(f *flow) bool {
	active := len(f.class.heap)
	return active > 1 && f.backlog > 2*f.class.backlog/float64(active)
}

// Next starts the next request. It returns nil if no slot is free or no request waits.
func (q *Queue) Next(now time.Time) *Item {
	for {
		class, ok := q.nextClass()
		if !ok {
			return nil
		}
		c := &q.classes[class]
		it := c.heap[0].first
		if !it.Deadline.IsZero() && now.After(q.startBy(it)) {
			q.dequeue(it, false)
			it.state = Expired
			q.onExpire(it)
			continue
		}
		q.start(it, now)
		return it
	}
}

// nextClass returns the class to serve: recovery while its budget lasts, then the lowest
// virtual start time among the classes that may have a slot.
func (q *Queue) nextClass() (Class, bool) {
	slack := int(recoverySlack * float64(q.capacity))
	if q.classes[Recovery].count > 0 && q.recoveryBudget > 0 && q.running < q.capacity+slack {
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
		if !found || c.virtualStart < q.classes[best].virtualStart {
			best, found = class, true
		}
	}
	return best, found
}

func (q *Queue) longLimit() int { return max(1, int(longSlotShare*float64(q.capacity))) }

func (q *Queue) start(it *Item, now time.Time) {
	class := it.Class
	q.dequeue(it, true)
	c := &q.classes[class]
	q.virtualTime = max(q.virtualTime, c.virtualStart)
	c.virtualStart += it.Cost / policies[class].weight
	c.running++
	q.running++
	if class == Recovery {
		q.recoveryBudget -= it.Cost
	} else {
		q.recoveryBudget = min(recoveryBurst, q.recoveryBudget+recoveryShare*it.Cost)
	}
	q.typicalCost += typicalCostGain * (it.Cost - q.typicalCost)
	q.byKey[it.Key] = it
	it.state, it.since = Running, now
}

func (q *Queue) dequeue(it *Item, charged bool) {
	q.classes[it.Class].drop(it, charged)
	delete(q.byKey, it.Key)
	q.count--
	q.bytes -= it.Bytes
}

// Leave removes a request that has ended or was cancelled. completed states that it ran
// to its end: its duration then updates the rate of a slot.
func (q *Queue) Leave(it *Item, completed bool, now time.Time) {
	switch it.state {
	case Waiting:
		q.dequeue(it, false)
	case Running:
		delete(q.byKey, it.Key)
		q.running--
		q.classes[it.Class].running--
		if took := now.Sub(it.since); completed && took > 0 {
			q.slotRate += slotRateGain * (it.Cost/took.Seconds() - q.slotRate)
		}
	case Idle, Expired:
	}
	it.state = Idle
}
