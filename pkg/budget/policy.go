package budget

import "time"

// Policy sets how large a customer's grants are.
type Policy struct {
	Cover     time.Duration // traffic that the open grants should cover
	MinTokens int64         // smallest grant asked for
	MaxShare  float64       // largest share of the free budget in one grant above MinTokens, 0 to 1
}

// refillShare is the share of the wanted tokens below which a further grant is
// opened. At 0.75 a store outage finds at least three quarters of the cover.
const refillShare = 0.75

// Size returns how many tokens to debit from a budget with free tokens, when
// want are wanted and need are needed for a waiting request. It returns 0 if
// the free tokens do not cover need.
func (p Policy) Size(free, want, need int64) int64 {
	if free <= 0 || free < need {
		return 0
	}
	amount := min(max(want, p.MinTokens), int64(p.MaxShare*float64(free)))
	// The share does not divide what is below the smallest grant: a rest that is
	// halved with each grant ends in pieces that no request fits into.
	amount = max(amount, need, p.MinTokens)
	return min(amount, free)
}
