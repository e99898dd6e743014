// Package testseed provides the seed of randomised tests.
package testseed

import (
	"math/rand/v2"
	"os"
	"strconv"
)

// Drawn returns the seed in the environment variable AMARANTHSHELF_SEED, which CI sets so that
// each run has the same verdict, or a random one if the variable is not set. Tests print it.
func Drawn() uint64 {
	if seed, err := strconv.ParseUint(os.Getenv("AMARANTHSHELF_SEED"), 10, 64); err == nil {
		return seed
	}
	return rand.Uint64()
}
