package route

import "math/rand/v2"

// Rand is the source of random numbers of a policy. It must be safe for
// concurrent use if the policy is.
type Rand interface {
	// IntN returns a number in [0, n).
	IntN(n int) int
	// Float64 returns a number in [0, 1).
	Float64() float64
}

// sharedRand is the process-wide source of math/rand/v2, which is safe for
// concurrent use.
type sharedRand struct{}

func (sharedRand) IntN(n int) int   { return rand.IntN(n) }
func (sharedRand) Float64() float64 { return rand.Float64() }
