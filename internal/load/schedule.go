package load

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// Arrival is one scheduled request.
type Arrival struct {
	At           time.Duration
	Class        *Class
	Workspace    string
	Key          string
	PromptTokens int // length of the prompt in tokens
	MaxTokens    int
}

// Schedule draws the arrivals of a run in order of time. Each class has a Poisson process;
// sizes are lognormal with the class's mean. Equal seeds give equal schedules.
func Schedule(p *Profile, seed uint64, duration time.Duration, scale float64) []Arrival {
	var out []Arrival
	for i := range p.Classes {
		rng := rand.New(rand.NewPCG(seed, uint64(i)+1))
		out = append(out, scheduleClass(rng, p, &p.Classes[i], seed, duration, scale)...)
	}
	slices.SortStableFunc(out, func(a, b Arrival) int { return cmp.Compare(a.At, b.At) })
	return out
}

func scheduleClass(rng *rand.Rand, p *Profile, c *Class, seed uint64, duration time.Duration, scale float64) []Arrival {
	var out []Arrival
	mean := float64(time.Second) / (c.Rate * scale)
	for at := rng.ExpFloat64() * mean; at < float64(duration); at += rng.ExpFloat64() * mean {
		out = append(out, Arrival{
			At: time.Duration(at), Class: c, Workspace: pickWorkspace(rng, p.Workspaces),
			Key:          fmt.Sprintf("%s-%d-%d", c.Name, seed, len(out)),
			PromptTokens: lognormalSize(rng, c.PromptTokens, c.Spread), MaxTokens: lognormalSize(rng, c.MaxTokens, c.Spread),
		})
	}
	return out
}

func pickWorkspace(rng *rand.Rand, ws []Workspace) string {
	total := 0.0
	for _, w := range ws {
		total += w.Weight
	}
	remaining := rng.Float64() * total
	for _, w := range ws {
		if remaining -= w.Weight; remaining < 0 {
			return w.Name
		}
	}
	return ws[len(ws)-1].Name
}

// lognormalSize draws a lognormal size with the given mean. It returns at least 1, or 0 for
// a mean of 0.
func lognormalSize(rng *rand.Rand, mean int, sigma float64) int {
	if mean == 0 {
		return 0
	}
	mu := math.Log(float64(mean)) - sigma*sigma/2
	return max(1, int(math.Exp(mu+sigma*rng.NormFloat64())))
}
