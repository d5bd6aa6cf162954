package admin

import (
	"maps"

	"github.com/peppertrail/peppertrail/pkg/budget"
	"github.com/peppertrail/peppertrail/pkg/bundle"
)

const (
	// maxTopUpTokens is the maximum size of one top-up, so that a typing error is
	// refused.
	maxTopUpTokens = int64(1_000_000_000_000_000)
	// maxBudgetTokens is the maximum limit of a budget. It is the largest integer
	// up to which every JSON reader represents integers exactly.
	maxBudgetTokens = int64(1) << 53
)

// createDecision returns the decision of a CreateBudget call. Repeating the call is
// allowed if the customer and the initial top-up are the same.
func createDecision(c CreateBudget) decision {
	return func(current *budget.Record) (*budget.Record, error) {
		if current != nil {
			return nil, checkRepeatedCreate(c, *current)
		}
		record := budget.Record{ID: c.ID, Customer: c.Customer, Limit: c.Tokens, TopUps: map[string]int64{}}
		if c.Tokens > 0 {
			record.TopUps[InitialTopUp] = c.Tokens
		}
		return &record, nil
	}
}

// checkRepeatedCreate returns an error if the existing budget differs from the one
// that the call would create.
func checkRepeatedCreate(c CreateBudget, current budget.Record) error {
	if current.Customer != c.Customer {
		return errorf(Conflict, "budget %q exists and belongs to customer %q: choose another id", c.ID, current.Customer)
	}
	if current.TopUps[InitialTopUp] != c.Tokens {
		return errorf(Conflict, "budget %q exists and was created with %d tokens: use a top-up to add more", c.ID, current.TopUps[InitialTopUp])
	}
	return nil
}

// topUpDecision returns the decision of a TopUp call.
func topUpDecision(id string, t TopUp) decision {
	return func(current *budget.Record) (*budget.Record, error) {
		if current == nil {
			return nil, errorf(NotFound, "budget %q does not exist: create it first", id)
		}
		if earlierTokens, ok := current.TopUps[t.ID]; ok {
			return nil, checkRepeatedTopUp(t, earlierTokens)
		}
		if t.Tokens > maxBudgetTokens-current.Limit {
			return nil, errorf(BadRequest, "tokens %d: the budget may hold %d more", t.Tokens, maxBudgetTokens-current.Limit)
		}
		next := *current
		next.Limit += t.Tokens
		next.TopUps = maps.Clone(current.TopUps)
		if next.TopUps == nil {
			next.TopUps = make(map[string]int64)
		}
		next.TopUps[t.ID] = t.Tokens
		return &next, nil
	}
}

// checkRepeatedTopUp returns an error if a top-up with the same id was applied with
// a different number of tokens.
func checkRepeatedTopUp(t TopUp, earlierTokens int64) error {
	if earlierTokens != t.Tokens {
		return errorf(Conflict, "top-up %q was applied before with %d tokens, not %d: choose another id for another top-up", t.ID, earlierTokens, t.Tokens)
	}
	return nil
}

func checkTokens(tokens, minTokens int64) error {
	if tokens < minTokens || tokens > maxTopUpTokens {
		return errorf(BadRequest, "tokens %d: allowed are %d to %d", tokens, minTokens, maxTopUpTokens)
	}
	return nil
}

func checkID(field, id string) error {
	if !bundle.ValidID(id) {
		return errorf(BadRequest, "%s %q: allowed are 1 to %d characters out of a-z A-Z 0-9 . _ -", field, id, bundle.MaxIDLength)
	}
	return nil
}
