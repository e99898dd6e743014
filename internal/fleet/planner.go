package fleet

import (
	"cmp"
	"slices"
	"time"
)

// Bounds of the repair of lost copies. It answers the death of an engine that held one of a
// few copies of a model: the engines with the other copies get its work, and without repair
// the next death makes the model unavailable. An immediate repair is wrong as well. Most
// engines are back from a restart within seconds, and a network partition makes many look
// dead at once. Each needless load takes minutes of the rate-limited weight store and memory
// on an engine that serves another model.
const (
	repairDelay      = 20 * time.Second // a copy has to be missing this long
	surplusRetention = 10 * time.Minute // a spare copy stays this long after the lost one is back
	failureBackoff   = 1 * time.Minute  // before an engine that failed an order gets another one
	// DefaultSlots is how many models an engine may hold.
	DefaultSlots = 2
)

// Engine is the state of an engine as the planner knows it.
type Engine struct {
	Name       string
	Zone       string
	Fences     bool
	Leaving    bool
	Slots      int
	Configured []string // models that it holds according to the settings
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

// Want is the least number of ready copies that a model should have.
type Want struct {
	Model  string
	Copies int
}

// Planner decides which orders to send. It reads no clock: times are arguments. It is not
// safe for concurrent use.
type Planner struct {
	store        *Bucket
	missingSince map[string]time.Time // by model: since when it has too few copies
	surplusSince map[string]time.Time // by model: since when a spare copy is not needed
	failedAt     map[string]time.Time // by engine: when it failed an order
	version      map[string]string    // by model: last version seen of a ready copy
}

// NewPlanner returns a Planner that orders loads at the rate of the bucket, which limits
// fetches from the weight store.
func NewPlanner(store *Bucket) *Planner {
	return &Planner{
		store: store, missingSince: map[string]time.Time{}, surplusSince: map[string]time.Time{},
		failedAt: map[string]time.Time{}, version: map[string]string{},
	}
}

// NoteFailure records that an engine has not carried out an order.
func (p *Planner) NoteFailure(engine string, now time.Time) { p.failedAt[engine] = now }

// Plan returns the orders to send now. busy maps each engine with a pending order to the
// model of that order; Plan adds the engines of the returned orders.
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
	copies := 0
	for i := range engines {
		e := &engines[i]
		c, ok := e.holds(w.Model)
		if e.alive() && ok && c.Ready {
			copies++
			p.version[w.Model] = c.Version
		} else if busy[e.Name] == w.Model {
			copies++
		}
	}
	if copies >= w.Copies {
		delete(p.missingSince, w.Model)
		return Order{}, false
	}
	since, ok := p.missingSince[w.Model]
	if !ok {
		p.missingSince[w.Model] = now
		return Order{}, false
	}
	target := p.target(now, engines, w.Model, busy)
	// The version is never guessed. A model of which no ready copy was ever seen is not
	// loaded.
	if now.Sub(since) < repairDelay || target == nil || p.version[w.Model] == "" || !p.store.Take(now) {
		return Order{}, false
	}
	return Order{Engine: target.Name, Op: Load, Model: w.Model, Version: p.version[w.Model]}, true
}

// target returns the engine to load a copy on, or nil if no engine can take one. It prefers
// the zone with the fewest copies, then the engine with the fewest models.
func (p *Planner) target(now time.Time, engines []Engine, model string, busy map[string]string) *Engine {
	zones := map[string]int{}
	var candidates []*Engine
	for i := range engines {
		e := &engines[i]
		_, has := e.holds(model)
		_, ordered := busy[e.Name]
		failedAt, failed := p.failedAt[e.Name]
		switch {
		case !e.alive():
		case has:
			zones[e.Zone]++
		case ordered, len(e.Copies) >= e.Slots, failed && now.Sub(failedAt) < failureBackoff:
		default:
			candidates = append(candidates, e)
		}
	}
	if len(candidates) == 0 {
		return nil
	}
	return slices.MinFunc(candidates, func(a, b *Engine) int {
		return cmp.Or(
			cmp.Compare(zones[a.Zone], zones[b.Zone]),
			cmp.Compare(len(a.Copies), len(b.Copies)), cmp.Compare(a.Name, b.Name),
		)
	})
}

// trim returns an order to unload a spare copy once the configured copies have been back for
// surplusRetention.
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
		delete(p.surplusSince, w.Model)
		return Order{}, false
	}
	since, ok := p.surplusSince[w.Model]
	if !ok {
		p.surplusSince[w.Model] = now
		return Order{}, false
	}
	if now.Sub(since) < surplusRetention {
		return Order{}, false
	}
	delete(p.surplusSince, w.Model)
	c, _ := spare.holds(w.Model)
	return Order{Engine: spare.Name, Op: Unload, Model: w.Model, Version: c.Version}, true
}

// Bucket is a token bucket that limits fetches from the weight store. Engines that restart
// also fetch from the store. Two fetches at once and one more each half minute leave room
// for them. It is not safe for concurrent use.
type Bucket struct {
	size      float64
	interval  time.Duration // time to gain one token
	tokens    float64
	updatedAt time.Time
}

// NewBucket returns a full bucket of a size in tokens that gains one token per interval.
func NewBucket(size int, interval time.Duration) *Bucket {
	return &Bucket{size: float64(size), interval: interval, tokens: float64(size)}
}

// Take takes a token and reports whether there was one.
func (b *Bucket) Take(now time.Time) bool {
	if !b.updatedAt.IsZero() {
		b.tokens = min(b.size, b.tokens+float64(now.Sub(b.updatedAt))/float64(b.interval))
	}
	b.updatedAt = now
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
