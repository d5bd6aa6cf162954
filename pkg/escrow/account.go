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
	// Era is the store's era in which the shares are complete; 0: the store names none, or the
	// row was written by an earlier release. After a return of the store from an older copy
	// nothing is granted until the shares have been recovered.
	Era uint64 `json:"era,omitempty"`
	// Base is the number of the version that the row had before it was written. It orders
	// the states of one era.
	Base uint64 `json:"base,omitempty"`
}

// Share is the part of a budget that one process may spend.
type Share struct {
	Host        string `json:"host"`            // host of the process
	Incarnation string `json:"incarnation"`     // unique name of the process
	Epoch       int    `json:"epoch,omitempty"` // rises each time the process loses its share
	Amount      int64  `json:"amount"`          // in tokens
	Seq         int64  `json:"seq,omitempty"`   // sequence number of the holder's last applied change
}

// key identifies the share in Account.Shares.
func (s Share) key() string { return fmt.Sprintf("%s.%d", s.Incarnation, s.Epoch) }

// decodeAccount decodes an account row. An empty value is an account without
// shares.
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
	return a, a.validate()
}

// validate returns an error if no process of the fleet can have written the account.
func (a Account) validate() error {
	if a.Settled < 0 {
		return fmt.Errorf("account row: %d settled tokens", a.Settled)
	}
	for key, s := range a.Shares {
		if s.Amount < 0 {
			return fmt.Errorf("account row: share %s of %d tokens", key, s.Amount)
		}
	}
	return nil
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
// amounts from the account, and their used tokens and demand from their last known
// usage.
func (a Account) summarizeOthers(exceptKey string, usageOf func(Share) (Usage, bool)) otherShares {
	var o otherShares
	for key, s := range a.Shares {
		if key == exceptKey {
			continue
		}
		o.Amount += s.Amount
		if s.Amount > 0 {
			o.Holders++
		}
		u, known := usageOf(s)
		if !known {
			o.Unreported += s.Amount
			continue
		}
		o.Used += u.Used
		o.LongTermDemand += float64(u.LongTermDemand)
		o.DemandSquares += float64(u.DemandSquare)
		o.PeakRequest = max(o.PeakRequest, u.PeakRequest)
		o.Shortage = o.Shortage || u.ShortageTokens > 0
	}
	return o
}

// closeEnded closes the shares of ended processes, which are given by
// incarnation, and the expired shares, which are given by Share.key with the
// tokens used from each. It reports whether it has closed any share.
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

// closeShare removes a share from the account and settles the tokens spent
// from it. The rest of the share becomes free.
func (a *Account) closeShare(key string, spent int64) {
	a.Settled += spent
	delete(a.Shares, key)
}
