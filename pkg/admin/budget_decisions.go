package admin

import (
	"maps"

	"github.com/peppertrail/peppertrail/pkg/budget"
	"github.com/peppertrail/peppertrail/pkg/bundle"
)

const (
	// maxTopUp bounds one top-up, so that a slip of the keyboard is refused.
	maxTopUp = int64(1_000_000_000_000_000)
	// maxLimit is the largest integer that every JSON reader keeps exact.
	maxLimit = int64(1) << 53
)

// creation returns the decision of a CreateBudget call. Repeating the call is
// allowed for as long as the first top-up and the customer are the same.
func creation(c CreateBudget) decision {
	return func(current *budget.Record) (*budget.Record, error) {
		if current != nil {
			return nil, sameCreation(c, *current)
		}
		record := budget.Record{ID: c.ID, Customer: c.Customer, Limit: c.Tokens, TopUps: map[string]int64{}}
		if c.Tokens > 0 {
			record.TopUps[InitialTopUp] = c.Tokens
		}
		return &record, nil
	}
}

func sameCreation(c CreateBudget, current budget.Record) error {
	if current.Customer != c.Customer {
		return fail(Conflict, "budget %q exists and belongs to customer %q: choose another id", c.ID, current.Customer)
	}
	if current.TopUps[InitialTopUp] != c.Tokens {
		return fail(Conflict, "budget %q exists and was created with %d tokens: use a top-up to add more", c.ID, current.TopUps[InitialTopUp])
	}
	return nil
}

// topUpOf returns the decision of a TopUp call.
func topUpOf(id string, t TopUp) decision {
	return func(current *budget.Record) (*budget.Record, error) {
		if current == nil {
			return nil, fail(NotFound, "budget %q does not exist: create it first", id)
		}
		if earlier, ok := current.TopUps[t.ID]; ok {
			return nil, sameTopUp(t, earlier)
		}
		if t.Tokens > maxLimit-current.Limit {
			return nil, fail(BadRequest, "tokens %d: the budget may hold %d more", t.Tokens, maxLimit-current.Limit)
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

func sameTopUp(t TopUp, earlier int64) error {
	if earlier != t.Tokens {
		return fail(Conflict, "top-up %q was applied before with %d tokens, not %d: choose another id for another top-up", t.ID, earlier, t.Tokens)
	}
	return nil
}

func checkTokens(tokens, low int64) error {
	if tokens < low || tokens > maxTopUp {
		return fail(BadRequest, "tokens %d: allowed are %d to %d", tokens, low, maxTopUp)
	}
	return nil
}

func checkID(field, id string) error {
	if !bundle.ValidID(id) {
		return fail(BadRequest, "%s %q: allowed are 1 to %d characters out of a-z A-Z 0-9 . _ -", field, id, bundle.MaxIDLength)
	}
	return nil
}
