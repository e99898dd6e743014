package experiment

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"github.com/amaranthshelf/amaranthshelf/internal/admission"
	"github.com/amaranthshelf/amaranthshelf/internal/routing"
)

// Load is the traffic of one workspace.
type Load struct {
	Name     string
	Share    int     // of fair queueing
	Rate     float64 // requests a second
	Prompt   int     // tokens, mean
	Tokens   int     // generated, mean
	Prefix   int     // tokens of the prompt that all its requests share
	MaxWait  time.Duration
	MaxTries int // of a refused or impatient caller, at most
	From, To time.Duration
}

func (l *Load) withDefaults() Load {
	out := *l
	out.Share = max(1, out.Share)
	out.MaxTries = max(1, out.MaxTries)
	if out.MaxWait == 0 {
		out.MaxWait = 10 * time.Second
	}
	if out.To == 0 {
		out.To = 24 * time.Hour
	}
	return out
}

// request is one request of a caller, over all its tries.
type request struct {
	load   *Load
	id     int
	class  admission.Class
	prompt int
	tokens int
	blocks []uint64
	router router
	rng    *rand.Rand

	asked   time.Time // first try
	tried   time.Time // last try
	tries   int
	first   time.Time // first token to the caller
	journal int       // tokens that the caller has
	ended   bool
	record  *record
	state   any // of the router that has it
	lost    time.Time
}

// router takes requests of callers.
type router interface {
	ask(r *request)
	leave(r *request) // the caller is gone
}

// offer starts the arrivals of a load: a Poisson process. Sizes come from a
// generator of the load's own, so that every policy sees the same requests.
func (w *world) offer(l Load, seed uint64) {
	l = l.withDefaults()
	rng := rand.New(rand.NewPCG(seed, hash(l.Name)))
	var next func()
	id := 0
	next = func() {
		if w.elapsed() >= l.To {
			return
		}
		id++
		w.arrive(&l, id, rng)
		w.After(time.Duration(rng.ExpFloat64()/l.Rate*float64(time.Second)), next)
	}
	w.After(l.From+time.Duration(rng.ExpFloat64()/l.Rate*float64(time.Second)), next)
}

func hash(s string) uint64 {
	h := uint64(1469598103934665603)
	for i := range len(s) {
		h = (h ^ uint64(s[i])) * 1099511628211
	}
	return h
}

// sizeSpread is the sigma of the lognormal sizes: one in a hundred is about
// four times the mean.
const sizeSpread = 0.7

func size(rng *rand.Rand, mean int) int {
	x := math.Exp(sizeSpread*rng.NormFloat64() - sizeSpread*sizeSpread/2)
	return max(1, int(x*float64(mean)))
}

func (w *world) arrive(l *Load, id int, rng *rand.Rand) {
	r := &request{load: l, id: id, tokens: size(rng, l.Tokens), asked: w.Now()}
	r.prompt = l.Prefix + size(rng, max(1, l.Prompt-l.Prefix))
	r.rng = rand.New(rand.NewPCG(rng.Uint64(), rng.Uint64()))
	r.router = w.routers[rng.IntN(len(w.routers))]
	r.class = admission.ClassOf(routing.Work(r.prompt, r.tokens))
	for n := range min(r.prompt/routing.BlockTokens, routing.MaxBlocks) {
		key := fmt.Sprint(l.Name, "/", n)
		if (n+1)*routing.BlockTokens > l.Prefix {
			key = fmt.Sprint(l.Name, "/", n, "/", id)
		}
		r.blocks = append(r.blocks, hash(key))
	}
	r.record = &record{workspace: l.Name, class: r.class.String(), asked: w.elapsed(), tokens: r.tokens}
	w.out.records = append(w.out.records, r.record)
	w.try(r)
}

// try sends the request; a caller without a first token within its patience
// leaves, and comes again if it has tries left.
func (w *world) try(r *request) {
	r.tries++
	r.tried = w.Now()
	r.record.tries++
	n := r.tries
	w.After(r.load.MaxWait, func() {
		if r.tries == n && r.first.IsZero() && !r.ended {
			r.router.leave(r)
			w.again(r, 500*time.Millisecond, gaveUp)
		}
	})
	r.router.ask(r)
}

// refused tells the caller that its try was refused, and when to come again.
func (w *world) refused(r *request, retryAfter time.Duration) {
	r.record.early = append(r.record.early, w.Now().Sub(r.tried))
	w.again(r, retryAfter, refusedLast)
}

// again lets a caller come back after a pause, or ends its request. A caller
// waits for its answer no longer than its patience for each of its tries.
func (w *world) again(r *request, pause time.Duration, last ending) {
	total := time.Duration(r.load.MaxTries) * r.load.MaxWait
	if r.tries >= r.load.MaxTries || w.Now().Add(pause).Sub(r.asked) > total {
		r.ended = true
		r.record.ending = last
		return
	}
	r.tries++ // the try under way is over
	n := r.tries
	w.After(pause, func() {
		if !r.ended && r.tries == n {
			r.tries--
			w.try(r)
		}
	})
}

// received gives the caller a token.
func (w *world) received(r *request) {
	if r.first.IsZero() {
		r.first = w.Now()
	}
	r.journal++
	if !r.lost.IsZero() {
		w.out.resumes = append(w.out.resumes, w.Now().Sub(r.lost))
		r.lost = time.Time{}
	}
	if r.journal >= r.tokens {
		r.ended = true
		r.record.ending = served
		r.record.wait = r.first.Sub(r.asked)
	}
}
