// Package oracle computes from the engines' journals how many tokens of a budget
// were free at any time, as the reference for refusals and overspending.
package oracle

import (
	"sort"
	"time"

	"github.com/peppertrail/peppertrail/pkg/standin/engine"
)

// Stream is one stream of a journal with the budget that it used.
type Stream struct {
	Budget string
	Bound  int64 // tokens that any policy has to reserve while the stream runs
	Record engine.Record
}

// tokens returns the tokens that the stream used, 0 if it never started.
func (s Stream) tokens() int64 {
	if s.Record.Started == nil {
		return 0
	}
	return int64(s.Record.PromptTokens + s.Record.CompletionTokens)
}

// change is a change of a budget's free tokens at a point in time.
type change struct {
	at    time.Time
	delta int64
}

// Oracle holds the usage and the top-ups of all budgets.
type Oracle struct {
	limit      map[string]int64
	spent      map[string]int64
	changes    map[string][]change // sorted by time once Finish has run
	freeTokens map[string][]int64  // free tokens after each change
}

// New returns an oracle without budgets.
func New() *Oracle {
	return &Oracle{
		limit: make(map[string]int64), spent: make(map[string]int64),
		changes: make(map[string][]change), freeTokens: make(map[string][]int64),
	}
}

// TopUp adds tokens to a budget. at is the time at which the top-up was confirmed.
func (o *Oracle) TopUp(budget string, at time.Time, tokens int64) {
	o.limit[budget] += tokens
	o.changes[budget] = append(o.changes[budget], change{at, tokens})
}

// AddStream adds a stream: its bound is reserved from acceptance to end, then replaced
// by its usage.
func (o *Oracle) AddStream(s Stream) {
	used := s.tokens()
	o.spent[s.Budget] += used
	o.changes[s.Budget] = append(o.changes[s.Budget], change{s.Record.Accepted, -s.Bound})
	if s.Record.Ended != nil {
		o.changes[s.Budget] = append(o.changes[s.Budget], change{*s.Record.Ended, s.Bound - used})
	}
}

// Finish prepares the answers of CouldReserve and FreeTokens. It is called
// after the last TopUp and AddStream.
func (o *Oracle) Finish() {
	for id, list := range o.changes {
		sort.SliceStable(list, func(i, j int) bool { return list[i].at.Before(list[j].at) })
		free := int64(0)
		freeTokens := make([]int64, len(list))
		for i, c := range list {
			free += c.delta
			freeTokens[i] = free
		}
		o.freeTokens[id] = freeTokens
	}
}

// CouldReserve reports whether at least bound tokens of a budget were free at a time.
func (o *Oracle) CouldReserve(budget string, at time.Time, bound int64) bool {
	return o.FreeTokens(budget, at) >= bound
}

// FreeTokens returns the free tokens of a budget at a time.
func (o *Oracle) FreeTokens(budget string, at time.Time) int64 {
	list := o.changes[budget]
	i := sort.Search(len(list), func(i int) bool { return list[i].at.After(at) })
	if i == 0 {
		return 0
	}
	return o.freeTokens[budget][i-1]
}

// Overspent returns the sum over all budgets of the tokens used beyond the limit.
func (o *Oracle) Overspent() int64 {
	sum := int64(0)
	for id, spent := range o.spent {
		sum += max(0, spent-o.limit[id])
	}
	return sum
}

// Spent returns the tokens that all streams used of a budget.
func (o *Oracle) Spent(budget string) int64 { return o.spent[budget] }
