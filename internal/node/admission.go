package node

import (
	"context"
	"expvar"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/amaranthshelf/amaranthshelf/internal/admission"
	"github.com/amaranthshelf/amaranthshelf/internal/explain"
	"github.com/amaranthshelf/amaranthshelf/internal/generation"
	"github.com/amaranthshelf/amaranthshelf/internal/recovery"
	"github.com/amaranthshelf/amaranthshelf/internal/relay"
	"github.com/amaranthshelf/amaranthshelf/internal/result"
	"github.com/amaranthshelf/amaranthshelf/internal/routing"
	"github.com/amaranthshelf/amaranthshelf/internal/settings"
)

// admitter queues requests with package admission, in one queue for each model, and
// starts them when the engines have capacity. It is safe for concurrent use.
type admitter struct {
	capacity func(model string) int
	share    func(workspace string) int
	note     relay.NoteFunc
	metrics  *expvar.Map
	log      zerolog.Logger

	mu         sync.Mutex
	queues     map[string]*admission.Queue
	tickets    map[*admission.Item]*ticket
	duplicates int // number of items queued under a duplicate key; makes their keys unique
}

func newAdmitter(capacity func(string) int, share func(string) int, note relay.NoteFunc, metrics *expvar.Map, log zerolog.Logger) *admitter {
	a := &admitter{
		capacity: capacity, share: share, note: note, metrics: metrics, log: log,
		queues: map[string]*admission.Queue{}, tickets: map[*admission.Item]*ticket{},
	}
	metrics.Set("queues", expvar.Func(func() any { return a.status() }))
	return a
}

// ticket is a request's place in a queue.
type ticket struct {
	a     *admitter
	id    generation.RequestID
	model string
	item  admission.Item
	ready chan struct{} // closed when the request may start, or when the queue has found it expired
}

// Enter implements relay.Admission.
func (a *admitter) Enter(req *generation.Request, accepted bool) (relay.Ticket, error) {
	now := time.Now()
	t := &ticket{a: a, id: req.ID, model: req.Model, ready: make(chan struct{})}
	t.item = admission.Item{
		Key: req.ID.String(), Workspace: req.ID.Workspace, Weight: float64(a.share(req.ID.Workspace)),
		Cost:  routing.Work(req.PromptTokens(), req.MaxTokens),
		Bytes: len(req.Prompt) + 4*len(req.PromptIDs),
	}
	t.item.Class = admission.ClassOf(t.item.Cost)
	if accepted {
		t.item.Class = admission.Recovery
	} else if req.DeadlineMS > 0 {
		t.item.Deadline = now.Add(time.Duration(req.DeadlineMS) * time.Millisecond)
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	q := a.queue(req.Model)
	q.SetCapacity(a.capacity(req.Model)) // the first request's wait estimate needs it, too
	d := q.Enter(&t.item, now)
	if d.Verdict == admission.Attached {
		// The previous run of this request has not been released yet. Both belong to
		// the same caller.
		a.duplicates++
		t.item.Key = fmt.Sprintf("%s#%d", t.item.Key, a.duplicates)
		d = q.Enter(&t.item, now)
	}
	if d.Refused() {
		return nil, a.refuse(t, d)
	}
	a.tickets[&t.item] = t
	a.metrics.Add("admission_entered", 1)
	a.startWaiting(req.Model, q)
	if t.item.State() == admission.Waiting {
		a.metrics.Add("admission_queued", 1)
		a.note(t.id, explain.Queued, fmt.Sprintf("%s class, %d before it, about %s", t.item.Class, q.Len()-1, d.Wait.Round(10*time.Millisecond)))
	}
	return t, nil
}

var refusals = map[admission.Verdict]result.Code{
	admission.QueueFull:        result.QueueFull,
	admission.WorkspaceBacklog: result.WorkspaceBacklog,
	admission.DeadlineTooSoon:  result.DeadlineTooSoon,
}

func (a *admitter) refuse(t *ticket, d admission.Decision) error {
	code := refusals[d.Verdict]
	name := result.Lookup(code).Name
	a.metrics.Add("admission_refused_"+name, 1)
	a.note(t.id, explain.Refused, fmt.Sprintf("%s: expected wait %s, come back in %s", name, d.Wait.Round(time.Millisecond), d.RetryAfter.Round(time.Millisecond)))
	a.log.Debug().Str("request_id", t.id.Key).Str("workspace", t.id.Workspace).Str("reason", name).
		Dur("wait", d.Wait).Dur("retry_after", d.RetryAfter).Msg("request refused at admission")
	return result.New(code).WithRetryAfter(d.RetryAfter)
}

// queue returns the queue of a model and creates it if necessary. The caller must
// hold a.mu.
func (a *admitter) queue(model string) *admission.Queue {
	q := a.queues[model]
	if q == nil {
		rng := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
		q = admission.NewQueue(admission.DefaultBounds, rng, a.onExpired)
		a.queues[model] = q
	}
	return q
}

// onExpired is the queues' callback for an expired item. Queues call it while a.mu is
// held.
func (a *admitter) onExpired(it *admission.Item) {
	if t := a.tickets[it]; t != nil {
		close(t.ready)
	}
}

// startWaiting starts waiting requests as far as the capacity allows. The caller must
// hold a.mu.
func (a *admitter) startWaiting(model string, q *admission.Queue) {
	q.SetCapacity(a.capacity(model))
	now := time.Now()
	for it := q.Next(now); it != nil; it = q.Next(now) {
		if t := a.tickets[it]; t != nil {
			close(t.ready)
		}
	}
}

// capacityFreed starts waiting requests when the engines may have capacity again.
func (a *admitter) capacityFreed() {
	a.mu.Lock()
	defer a.mu.Unlock()
	for model, q := range a.queues {
		if q.Len() > 0 {
			a.startWaiting(model, q)
		}
	}
}

// hasWaiting reports whether any request waits for a slot.
func (a *admitter) hasWaiting() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, q := range a.queues {
		if q.Len() > 0 {
			return true
		}
	}
	return false
}

// Wait implements relay.Ticket. A request whose deadline passes in the queue is refused
// at that moment. It has not run.
func (t *ticket) Wait(ctx context.Context) error {
	var deadlinePassed <-chan time.Time
	if !t.item.Deadline.IsZero() {
		timer := time.NewTimer(time.Until(t.item.Deadline))
		defer timer.Stop()
		deadlinePassed = timer.C
	}
	select {
	case <-t.ready:
	case <-deadlinePassed:
	case <-ctx.Done():
		return ctx.Err()
	}
	t.a.mu.Lock()
	defer t.a.mu.Unlock()
	if t.item.State() == admission.Running {
		return nil
	}
	return t.a.expireTicket(t)
}

// expireTicket removes an expired request from its queue, and returns the error for its
// caller. The caller must hold a.mu.
func (a *admitter) expireTicket(t *ticket) error {
	q := a.queues[t.model]
	q.Leave(&t.item, false, time.Now())
	a.metrics.Add("admission_expired", 1)
	a.note(t.id, explain.Refused, "the deadline passed while it waited")
	return result.New(result.DeadlinePassed).WithRetryAfter(max(time.Second, q.EstimateWait(&t.item)))
}

// FirstToken implements relay.Ticket.
func (t *ticket) FirstToken() {
	t.a.mu.Lock()
	defer t.a.mu.Unlock()
	t.a.queues[t.model].FirstToken(&t.item, time.Now())
}

// Release implements relay.Ticket.
func (t *ticket) Release() {
	a := t.a
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.tickets[&t.item] == nil {
		return
	}
	delete(a.tickets, &t.item)
	q := a.queues[t.model]
	q.Leave(&t.item, true, time.Now())
	a.startWaiting(t.model, q)
}

// QueueStatus is the state of one model's queue as operators see it.
type QueueStatus struct {
	Model    string `json:"model"`
	Waiting  int    `json:"waiting"`
	Running  int    `json:"running"`
	Capacity int    `json:"capacity"`
}

func (a *admitter) status() []QueueStatus {
	a.mu.Lock()
	defer a.mu.Unlock()
	out := []QueueStatus{}
	for model, q := range a.queues {
		out = append(out, QueueStatus{Model: model, Waiting: q.Len(), Running: q.Running(), Capacity: q.Capacity()})
	}
	return out
}

func (n *Node) startAdmission() {
	n.admission = newAdmitter(n.router.Capacity, n.shareOf, n.note, n.metrics, n.log)
	n.router.onCapacityFreed = n.admission.capacityFreed
}

// shareOf returns the weight of a workspace in fair queueing.
func (n *Node) shareOf(workspace string) int {
	d, err := n.plans.Directory()
	if err != nil {
		return 1 // not fresh: answers in progress continue, whatever their share
	}
	_, allowance, _ := d.Workspace(workspace)
	return allowance.Share
}

// note records a decision about a request for `amaranthshelf explain`. what is the kind of
// decision, one of the constants of package explain; why is its reason as a text.
func (n *Node) note(id generation.RequestID, what, why string) {
	n.explain.Note(explain.Key{Workspace: id.Workspace, Request: id.Key},
		explain.Note{At: time.Now(), VM: n.s.Self.ID, What: what, Why: why})
}

func objectiveOf(o settings.Objective) recovery.Objective {
	if o == settings.ResumeLatency {
		return recovery.ResumeLatency
	}
	return recovery.ExtraWork
}
