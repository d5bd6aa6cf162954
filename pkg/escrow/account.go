package escrow

import (
	"encoding/json"
	"fmt"
	"maps"
)

// Account is the table row of a customer's budget.
type Account struct {
	Settled int64            `json:"settled"` // tokens spent from shares that are closed
	Shares  map[string]Share `json:"shares"`  // by shareKey
}

// Share is the part of a budget that one process may spend.
type Share struct {
	Host        string `json:"host"`
	Incarnation string `json:"incarnation"`
	Epoch       int    `json:"epoch,omitempty"`
	Amount      int64  `json:"amount"`        // tokens
	Seq         int64  `json:"seq,omitempty"` // of the holder's change that was applied last
}

func (s Share) key() string { return fmt.Sprintf("%s.%d", s.Incarnation, s.Epoch) }

// decodeAccount reads a row. An empty value is a new account.
func decodeAccount(value []byte) (Account, error) {
	var a Account
	if len(value) > 0 {
		if err := json.Unmarshal(value, &a); err != nil {
			return a, fmt.Errorf("account row: %w", err)
		}
	}
	if a.Shares == nil {
		a.Shares = make(map[string]Share)
	}
	return a, nil
}

func (a Account) encode() []byte { return mustEncode(a) }

// Allotted returns what is spent or held.
func (a Account) Allotted() int64 {
	total := a.Settled
	for _, s := range a.Shares {
		total += s.Amount
	}
	return total
}

// summarizeOthers returns what the shares but one hold, and have spent by the reports.
func (a Account) summarizeOthers(customer, exceptKey string, reports map[string]UsageReport) otherShares {
	var o otherShares
	for key, s := range a.Shares {
		if key == exceptKey {
			continue
		}
		o.Amount += s.Amount
		report, known := reports[s.Incarnation]
		u, named := report.Customers[customer]
		if !known || !named || u.Epoch != s.Epoch {
			o.Unreported += s.Amount
			continue
		}
		o.Spent += u.Spent
		o.LongTermDemand += float64(u.LongTermDemand)
		o.DemandSquares += float64(u.DemandSquare)
		o.PeakRequest = max(o.PeakRequest, u.PeakRequest)
		o.Shortage = o.Shortage || u.Shortage > 0
	}
	return o
}

// closeEnded closes the shares of ended processes and of leases that have ended,
// and reports whether there were any.
func (a *Account) closeEnded(customer string, ended map[string]EndedProcess, expired map[string]int64) bool {
	closed := false
	for key, s := range maps.Clone(a.Shares) {
		if used, ok := expired[key]; ok {
			a.closeShare(key, used)
			closed = true
		} else if process, ok := ended[s.Incarnation]; ok {
			a.closeShare(key, process.maxSpent(customer, s))
			closed = true
		}
	}
	return closed
}

// clone returns a copy that shares nothing.
func (a Account) clone() Account {
	a.Shares = maps.Clone(a.Shares)
	return a
}

// closeShare ends a share with what counts as spent.
func (a *Account) closeShare(key string, spent int64) {
	a.Settled += spent
	delete(a.Shares, key)
}
