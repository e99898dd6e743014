package fleet

import (
	"cmp"
	"slices"
	"time"
)

// Repair of lost copies. The load pattern: an engine that held one of few copies
// of a model dies, and the others get its work. Without repair the next death
// ends the model. Repairing at once is wrong as well: most engines are back from
// a restart within seconds, and a network cut makes many look dead together;
// each needless load takes minutes of the rate-limited weight store and memory
// on an engine that serves something else.
const (
	repairAfter = 20 * time.Second // a copy must be missing this long
	surplusFor  = 10 * time.Minute // a spare copy stays this long after the lost one is back
	failedPause = 1 * time.Minute  // before an engine that failed an order gets another
	// DefaultSlots is how many models an engine may hold.
	DefaultSlots = 2
)

// Engine is an engine as the planner sees it.
type Engine struct {
	Name       string
	Zone       string
	Fences     bool
	Leaving    bool
	Slots      int
	Configured []string // models that it holds by the settings
	Lost       bool     // it has not answered for some time
	Copies     []Copy
}

func (e *Engine) alive() bool { return !e.Leaving && !e.Lost }

func (e *Engine) holds(model string) (Copy, bool) {
	for _, c := range e.Copies {
		if c.Model == model {
			return c, true
		}
	}
	return Copy{}, false
}

// Want is how many ready copies of a model there should be at least.
type Want struct {
	Model  string
	Copies int
}

// Planner decides orders. It is not safe for concurrent use; time is an
// argument.
type Planner struct {
	store   *Bucket
	missing map[string]time.Time // by model: since when copies are missing
	surplus map[string]time.Time
	failed  map[string]time.Time // by engine
	version map[string]string    // by model, as last seen on a ready copy
}

// NewPlanner returns a Planner that fetches weights at the bucket's rate.
func NewPlanner(store *Bucket) *Planner {
	return &Planner{
		store: store, missing: map[string]time.Time{}, surplus: map[string]time.Time{},
		failed: map[string]time.Time{}, version: map[string]string{},
	}
}

// Failed notes that an engine did not carry out an order.
func (p *Planner) NoteFailure(engine string, now time.Time) { p.failed[engine] = now }

// Plan returns the orders to give now. busy names engines with an order under
// way and the model that it loads.
func (p *Planner) Plan(now time.Time, engines []Engine, wants []Want, busy map[string]string) []Order {
	var out []Order
	for _, w := range wants {
		o, ok := p.repair(now, engines, w, busy)
		if !ok {
			o, ok = p.trim(now, engines, w, busy)
		}
		if ok {
			out = append(out, o)
			busy[o.Engine] = o.Model
		}
	}
	return out
}

func (p *Planner) repair(now time.Time, engines []Engine, w Want, busy map[string]string) (Order, bool) {
	have := 0
	for i := range engines {
		e := &engines[i]
		c, ok := e.holds(w.Model)
		if e.alive() && ok && c.Ready {
			have++
			p.version[w.Model] = c.Version
		} else if busy[e.Name] == w.Model {
			have++
		}
	}
	if have >= w.Copies {
		delete(p.missing, w.Model)
		return Order{}, false
	}
	since, ok := p.missing[w.Model]
	if !ok {
		p.missing[w.Model] = now
		return Order{}, false
	}
	target := p.target(now, engines, w.Model, busy)
	// The version is not guessed: without a copy ever seen there is none to load.
	if now.Sub(since) < repairAfter || target == nil || p.version[w.Model] == "" || !p.store.Take(now) {
		return Order{}, false
	}
	return Order{Engine: target.Name, Op: Load, Model: w.Model, Version: p.version[w.Model]}, true
}

// target is the engine with the fewest models among those that can take one, in
// a zone without a copy if there is one.
func (p *Planner) target(now time.Time, engines []Engine, model string, busy map[string]string) *Engine {
	zones := map[string]int{}
	var able []*Engine
	for i := range engines {
		e := &engines[i]
		_, has := e.holds(model)
		_, ordered := busy[e.Name]
		failedAt, failed := p.failed[e.Name]
		switch {
		case !e.alive():
		case has:
			zones[e.Zone]++
		case ordered, len(e.Copies) >= e.Slots, failed && now.Sub(failedAt) < failedPause:
		default:
			able = append(able, e)
		}
	}
	if len(able) == 0 {
		return nil
	}
	return slices.MinFunc(able, func(a, b *Engine) int {
		return cmp.Or(
			cmp.Compare(zones[a.Zone], zones[b.Zone]),
			cmp.Compare(len(a.Copies), len(b.Copies)), cmp.Compare(a.Name, b.Name),
		)
	})
}

// trim unloads a spare copy once those of the settings have been back for long.
func (p *Planner) trim(now time.Time, engines []Engine, w Want, busy map[string]string) (Order, bool) {
	configured, spare := 0, (*Engine)(nil)
	for i := range engines {
		e := &engines[i]
		c, ok := e.holds(w.Model)
		if !e.alive() || !ok || !c.Ready {
			continue
		}
		if slices.Contains(e.Configured, w.Model) {
			configured++
		} else if _, ordered := busy[e.Name]; !ordered {
			spare = e
		}
	}
	if configured < w.Copies || spare == nil {
		delete(p.surplus, w.Model)
		return Order{}, false
	}
	since, ok := p.surplus[w.Model]
	if !ok {
		p.surplus[w.Model] = now
		return Order{}, false
	}
	if now.Sub(since) < surplusFor {
		return Order{}, false
	}
	delete(p.surplus, w.Model)
	c, _ := spare.holds(w.Model)
	return Order{Engine: spare.Name, Op: Unload, Model: w.Model, Version: c.Version}, true
}

// Bucket is a token bucket: the weight store's rate. The store is shared with
// the engines' own restarts, so that two fetches at once and one more each half
// minute leave room for them.
type Bucket struct {
	size   float64
	every  time.Duration // one token
	tokens float64
	at     time.Time
}

// NewBucket returns a full bucket of a size that gains a token each interval.
func NewBucket(size int, every time.Duration) *Bucket {
	return &Bucket{size: float64(size), every: every, tokens: float64(size)}
}

// Take takes a token if there is one.
func (b *Bucket) Take(now time.Time) bool {
	if !b.at.IsZero() {
		b.tokens = min(b.size, b.tokens+float64(now.Sub(b.at))/float64(b.every))
	}
	b.at = now
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
