package budget

import "time"

// Policy sets the size of a customer's grants.
type Policy struct {
	Cover     time.Duration // duration of traffic, at the current spend rate, that the open grants should cover
	MinTokens int64         // smallest grant size requested, tokens
	MaxShare  float64       // largest share of the free budget in one grant above MinTokens, 0 to 1
}

// refillThreshold is the share of the wanted tokens below which another grant
// is opened. At 0.75, at least three quarters of the wanted tokens are
// available when a table outage begins.
const refillThreshold = 0.75

// Size returns how many tokens to debit from a budget for a new grant. free is
// the number of free tokens in the budget, want the result of Ledger.Demand, and
// need the bound of a waiting request, 0 for none. It returns 0 if the
// free tokens do not cover need.
func (p Policy) Size(free, want, need int64) int64 {
	if free <= 0 || free < need {
		return 0
	}
	amount := min(max(want, p.MinTokens), int64(p.MaxShare*float64(free)))
	// MaxShare does not apply below MinTokens: a remainder that is halved with
	// each grant would end in grants too small for any request.
	amount = max(amount, need, p.MinTokens)
	return min(amount, free)
}
