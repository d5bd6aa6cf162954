package escrow

import (
	"encoding/json"
	"fmt"
	"maps"
)

// Account is the table row of a customer's budget.
type Account struct {
	Settled int64            `json:"settled"` // tokens spent from shares that are closed
	Shares  map[string]Share `json:"shares"`  // by Share.key
}

// Share is the part of a budget that one process may spend.
type Share struct {
	Host        string `json:"host"`
	Incarnation string `json:"incarnation"`
	Epoch       int    `json:"epoch,omitempty"`
	Amount      int64  `json:"amount"`        // in tokens
	Seq         int64  `json:"seq,omitempty"` // sequence number of the holder's last applied change
}

func (s Share) key() string { return fmt.Sprintf("%s.%d", s.Incarnation, s.Epoch) }

// decodeAccount decodes an account row. An empty value is an account without
// shares.
func decodeAccount(value []byte) (Account, error) {
	var a Account
	if len(value) > 0 {
		if err := json.Unmarshal(value, &a); err != nil {
			return a, fmt.Errorf("decode account row: %w", err)
		}
	}
	if a.Shares == nil {
		a.Shares = make(map[string]Share)
	}
	return a, nil
}

func (a Account) encode() []byte { return mustEncode(a) }

// Allotted returns the tokens that are either settled or held in open shares.
func (a Account) Allotted() int64 {
	total := a.Settled
	for _, s := range a.Shares {
		total += s.Amount
	}
	return total
}

// summarizeOthers sums up all shares except the one with exceptKey: their
// amounts from the account, and their spending and demand from the usage
// reports.
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

// closeEnded closes the shares of ended processes and the shares whose lease
// has expired. It reports whether there were any.
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

// clone returns a copy that does not share the map of shares with the
// original.
func (a Account) clone() Account {
	a.Shares = maps.Clone(a.Shares)
	return a
}

// closeShare removes a share and adds the given tokens to what is settled.
func (a *Account) closeShare(key string, spent int64) {
	a.Settled += spent
	delete(a.Shares, key)
}
