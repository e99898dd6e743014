package rollout

import "math"

// surprise is how much better a rate of x in n explains what was seen than the expected
// rate p does, as a log likelihood ratio. Zero where there was not more than expected.
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

// atMost is the probability of x or fewer of n where each has probability p.
func binomialCDF(x, n, p float64) float64 {
	if p >= 1 {
		return 0
	}
	whole, _ := math.Lgamma(n + 1)
	sum := 0.0
	for k := 0.0; k <= math.Floor(x); k++ {
		a, _ := math.Lgamma(k + 1)
		b, _ := math.Lgamma(n - k + 1)
		sum += math.Exp(whole - a - b + k*math.Log(p) + (n-k)*math.Log1p(-p))
	}
	return min(sum, 1)
}
