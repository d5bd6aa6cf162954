package harness

import (
	"math/rand/v2"
	"os"
	"strconv"
	"testing"
	"time"
)

// seedVariable is the environment variable that sets the seed.
const seedVariable = "SEED"

// Seed returns the seed of the test and logs it. Setting the environment variable
// SEED to the seed of an earlier run repeats the schedule of that run.
func Seed(t testing.TB) uint64 {
	t.Helper()
	seed := uint64(time.Now().UnixNano())
	if text := os.Getenv(seedVariable); text != "" {
		var err error
		if seed, err = strconv.ParseUint(text, 10, 64); err != nil {
			t.Fatalf("harness: %s=%q is not an unsigned 64-bit integer", seedVariable, text)
		}
	}
	t.Logf("%s=%d", seedVariable, seed)
	return seed
}

// Rand returns a random generator for a seed and a sequence number. Each goroutine
// must use its own sequence, so that the schedule does not depend on timing.
func Rand(seed, sequence uint64) *rand.Rand {
	return rand.New(rand.NewPCG(seed, sequence))
}
