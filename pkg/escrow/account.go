package escrow

import (
	"encoding/json"
	"fmt"
	"maps"
	"time"
)

// Account is the table row of a customer's budget.
type Account struct {
	Settled  int64              `json:"settled"`  // tokens spent by holdings that are closed
	Holdings map[string]Holding `json:"holdings"` // by host
}

// decodeAccount reads a row. An empty value is a new account.
func decodeAccount(value []byte) (Account, error) {
	a := Account{Holdings: make(map[string]Holding)}
	if len(value) == 0 {
		return a, nil
	}
	if err := json.Unmarshal(value, &a); err != nil {
		return a, fmt.Errorf("account row: %w", err)
	}
	if a.Holdings == nil {
		a.Holdings = make(map[string]Holding)
	}
	return a, nil
}

func (a Account) encode() []byte {
	data, err := json.Marshal(a)
	if err != nil {
		panic("escrow: account row: " + err.Error()) // numbers and strings always encode
	}
	return data
}

// Allotted returns what is spent or held.
func (a Account) Allotted() int64 {
	total := a.Settled
	for _, h := range a.Holdings {
		total += h.Amount
	}
	return total
}

// Spent returns what is known as spent, open reservations included.
func (a Account) Spent() int64 {
	total := a.Settled
	for _, h := range a.Holdings {
		total += h.Spent
	}
	return total
}

// clone returns a copy that shares nothing.
func (a Account) clone() Account {
	a.Holdings = maps.Clone(a.Holdings)
	return a
}

// close ends a holding as if everything that its host may have spent was spent.
func (a *Account) close(host string, elapsed time.Duration) {
	a.Settled += a.Holdings[host].MaxSpent(elapsed)
	delete(a.Holdings, host)
}

// othersLack reports whether a request waits for tokens on another host.
func (a Account) othersLack(host string) bool {
	for name, h := range a.Holdings {
		if name != host && h.Lacking > 0 {
			return true
		}
	}
	return false
}

// peak returns the largest recent request of all hosts.
func (a Account) peak() int64 {
	peak := int64(0)
	for _, h := range a.Holdings {
		peak = max(peak, h.Peak)
	}
	return peak
}

// usualDemand returns the demand at all hosts, in tokens per second.
func (a Account) usualDemand() float64 {
	total := int64(0)
	for _, h := range a.Holdings {
		total += h.Usual
	}
	return float64(total)
}
