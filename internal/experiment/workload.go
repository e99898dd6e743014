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
	Share    int           // weight in fair queueing
	Rate     float64       // requests per second
	Prompt   int           // mean tokens of a prompt
	Tokens   int           // mean tokens generated
	Prefix   int           // prompt tokens that all requests of the load share
	MaxWait  time.Duration // for the first token, per try
	MaxTries int           // at most, of a caller that was refused or gave up waiting
	From, To time.Duration // arrivals, since the start of the run
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

// request is one request of a caller over all its tries.
type request struct {
	load         *Load
	id           int
	class        admission.Class
	prompt       int
	tokens       int
	blockDigests []uint64
	router       router
	rng          *rand.Rand

	firstTryAt     time.Time
	lastTryAt      time.Time
	tries          int
	firstTokenAt   time.Time
	tokensReceived int
	ended          bool
	record         *record
	routerState    any       // owned by the router
	interruptedAt  time.Time // by a fault; zero after the next token
}

// router is a simulated router.
type router interface {
	submit(r *request)
	cancel(r *request) // the caller has left
}

// startLoad schedules the arrivals of a load as a Poisson process. Each load has its
// own random source, which gives every policy the same requests.
func (w *world) startLoad(l Load, seed uint64) {
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

// sizeSpread is the sigma of the lognormal distribution of sizes. About one size in a
// hundred exceeds four times the mean.
const sizeSpread = 0.7

func size(rng *rand.Rand, mean int) int {
	x := math.Exp(sizeSpread*rng.NormFloat64() - sizeSpread*sizeSpread/2)
	return max(1, int(x*float64(mean)))
}

func (w *world) arrive(l *Load, id int, rng *rand.Rand) {
	r := &request{load: l, id: id, tokens: size(rng, l.Tokens), firstTryAt: w.Now()}
	r.prompt = l.Prefix + size(rng, max(1, l.Prompt-l.Prefix))
	r.rng = rand.New(rand.NewPCG(rng.Uint64(), rng.Uint64()))
	r.router = w.routers[rng.IntN(len(w.routers))]
	r.class = admission.ClassOf(routing.Work(r.prompt, r.tokens))
	for n := range min(r.prompt/routing.BlockTokens, routing.MaxBlocks) {
		key := fmt.Sprint(l.Name, "/", n)
		if (n+1)*routing.BlockTokens > l.Prefix {
			key = fmt.Sprint(l.Name, "/", n, "/", id)
		}
		r.blockDigests = append(r.blockDigests, hash(key))
	}
	r.record = &record{workspace: l.Name, class: r.class.String(), submittedAt: w.elapsed(), tokens: r.tokens}
	w.out.records = append(w.out.records, r.record)
	w.try(r)
}

// try sends the request. A caller without a first token within its maximum wait leaves,
// and retries if it has tries left.
func (w *world) try(r *request) {
	r.tries++
	r.lastTryAt = w.Now()
	r.record.tries++
	n := r.tries
	w.After(r.load.MaxWait, func() {
		if r.tries == n && r.firstTokenAt.IsZero() && !r.ended {
			r.router.cancel(r)
			w.retry(r, 500*time.Millisecond, gaveUp)
		}
	})
	r.router.submit(r)
}

// refused records that the current try was refused. The caller retries after retryAfter.
func (w *world) refused(r *request, retryAfter time.Duration) {
	r.record.refusalLatencies = append(r.record.refusalLatencies, w.Now().Sub(r.lastTryAt))
	w.retry(r, retryAfter, refusedLast)
}

// retry schedules the caller's next try after a pause, or ends the request with the
// given ending. The total wait is bounded by the maximum wait times the number of tries.
func (w *world) retry(r *request, pause time.Duration, last ending) {
	total := time.Duration(r.load.MaxTries) * r.load.MaxWait
	if r.tries >= r.load.MaxTries || w.Now().Add(pause).Sub(r.firstTryAt) > total {
		r.ended = true
		r.record.ending = last
		return
	}
	r.tries++ // invalidates the timer of the current try
	n := r.tries
	w.After(pause, func() {
		if !r.ended && r.tries == n {
			r.tries--
			w.try(r)
		}
	})
}

// received delivers a token to the caller.
func (w *world) received(r *request) {
	if r.firstTokenAt.IsZero() {
		r.firstTokenAt = w.Now()
	}
	r.tokensReceived++
	if !r.interruptedAt.IsZero() {
		w.out.resumeLatencies = append(w.out.resumeLatencies, w.Now().Sub(r.interruptedAt))
		r.interruptedAt = time.Time{}
	}
	if r.tokensReceived >= r.tokens {
		r.ended = true
		r.record.ending = served
		r.record.firstTokenWait = r.firstTokenAt.Sub(r.firstTryAt)
	}
}
