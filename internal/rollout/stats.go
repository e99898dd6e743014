package rollout

import "math"

// logLikelihoodRatio returns by how much the rate x/n explains an observation of x in n
// better than the expected rate p. It is zero if x/n is not above p.
func logLikelihoodRatio(x, n, p float64) float64 {
	if n <= 0 || x/n <= p {
		return 0
	}
	rate := x / n
	out := x * math.Log(rate/p)
	if rate < 1 {
		out += (n - x) * math.Log((1-rate)/(1-p))
	}
	return out
}

// binomialCDF returns the probability of at most x successes in n trials that each have
// success probability p.
func binomialCDF(x, n, p float64) float64 {
	if p >= 1 {
		return 0
	}
	logFactorialN, _ := math.Lgamma(n + 1)
	sum := 0.0
	for k := 0.0; k <= math.Floor(x); k++ {
		a, _ := math.Lgamma(k + 1)
		b, _ := math.Lgamma(n - k + 1)
		sum += math.Exp(logFactorialN - a - b + k*math.Log(p) + (n-k)*math.Log1p(-p))
	}
	return min(sum, 1)
}
