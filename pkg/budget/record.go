// Package budget implements the accounting of prepaid token budgets: grants
// debited from a budget, reservations made from a grant, and the settlement of
// the tokens used.
//
// It does no I/O. Its inputs are table rows, times and messages.
package budget

import "slices"

// Record is the table row of a budget, at key BudgetKey. All amounts are tokens.
//
// Invariant: Settled + Granted <= Limit.
type Record struct {
	ID       string           `json:"id"`
	Customer string           `json:"customer"`
	Limit    int64            `json:"limit"`   // sum of all top-ups
	Granted  int64            `json:"granted"` // sum of the amounts of open grants
	Settled  int64            `json:"settled"` // spend of closed grants, written-off amounts included
	TopUps   map[string]int64 `json:"top_ups"` // amount by top-up id; makes top-ups idempotent
}

// Free returns the tokens that are neither in an open grant nor settled.
func (r Record) Free() int64 {
	return r.Limit - r.Granted - r.Settled
}

// GrantState is the state of a grant. Tokens are spent only from open grants.
type GrantState string

// States of a grant.
const (
	GrantOpen   GrantState = "open"
	GrantClosed GrantState = "closed"
)

// GrantRecord is the table row of a grant, at key GrantKey. All amounts are tokens.
//
// Invariant: Used + WrittenOff <= Amount. The sum is less than Amount if the
// remainder of the grant was returned to the budget.
type GrantRecord struct {
	ID         string     `json:"id"`
	Holder     string     `json:"holder"` // incarnation of the daemon that holds the grant
	Budget     string     `json:"budget"`
	Amount     int64      `json:"amount"`
	Used       int64      `json:"used"`        // sum of the durable bill lines settled from the grant
	WrittenOff int64      `json:"written_off"` // charged without a bill line because the holder was fenced
	State      GrantState `json:"state"`
	Streams    int64      `json:"streams"`         // only stream numbers below this limit may have been issued
	Settled    StreamSet  `json:"settled_streams"` // numbers of the streams whose bill line is durable or that were not dispatched
	Resolved   bool       `json:"resolved"`        // WrittenOff is final: it was compared with the usage recorded at the targets
}

// Line is a bill line, at key LineKey. There is one per request.
//
// Tokens is the amount billed for the answer. ExtraTokens is the amount used by
// other attempts of the same request. It is debited from the budget because the
// attempts ran, and reported separately because they gave no answer.
type Line struct {
	Customer    string   `json:"customer"`
	Budget      string   `json:"budget"`
	Request     string   `json:"request"`
	Streams     []string `json:"streams"` // ids of all streams charged by this line, the answered one first
	Target      string   `json:"target"`  // id of the target that ran the first stream
	Tokens      int64    `json:"tokens"`
	ExtraTokens int64    `json:"extra_tokens,omitempty"`
	Attempts    int      `json:"attempts"` // attempts charged by this line
	Completed   bool     `json:"completed"`
	Estimated   bool     `json:"estimated,omitempty"` // a reservation's bound was charged because a target did not report its usage
	BilledAt    int64    `json:"billed_at"`           // Unix time, milliseconds
}

// Merge returns the line with a later attempt of the same request added. The
// first completed attempt is billed; all others count as extra tokens.
func (l Line) Merge(next Line) Line {
	merged := l
	if next.Completed && !l.Completed {
		merged = next
		merged.ExtraTokens += l.Tokens + l.ExtraTokens
		merged.Streams = slices.Concat(next.Streams, l.Streams)
	} else {
		merged.ExtraTokens += next.Tokens + next.ExtraTokens
		merged.Streams = slices.Concat(l.Streams, next.Streams)
	}
	merged.Attempts = l.Attempts + next.Attempts
	merged.Estimated = l.Estimated || next.Estimated
	return merged
}

// WithAnswer returns the line for the case that a stream charged as failed was
// answered after all, because another caller read it to its end. The tokens of
// the answer move from ExtraTokens to Tokens; the total does not change.
func (l Line) WithAnswer(stream string, tokens int64) Line {
	if l.Completed || !l.Charges(stream) {
		return l
	}
	answered := l
	answered.Tokens = min(tokens, l.ExtraTokens)
	answered.ExtraTokens = l.ExtraTokens - answered.Tokens
	answered.Completed = true
	rest := slices.DeleteFunc(slices.Clone(l.Streams), func(s string) bool { return s == stream })
	answered.Streams = append([]string{stream}, rest...)
	return answered
}

// Charges reports whether the line charges a stream.
func (l Line) Charges(stream string) bool {
	return slices.Contains(l.Streams, stream)
}

// Total returns the tokens that the line debits from the budget.
func (l Line) Total() int64 {
	return l.Tokens + l.ExtraTokens
}

// BudgetKey returns the table key of a budget.
func BudgetKey(id string) string { return "budget/" + id }

// GrantPrefix returns the key prefix of all grants of a holder.
func GrantPrefix(holder string) string { return "grant/" + holder + "/" }

// GrantKey returns the table key of a grant.
func GrantKey(holder, id string) string { return GrantPrefix(holder) + id }

// LinePrefix returns the key prefix of all bill lines of a customer.
func LinePrefix(customer string) string { return "bill/" + customer + "/" }

// LineKey returns the table key of the bill line of a request.
func LineKey(customer, request string) string { return LinePrefix(customer) + request }
