package escrow

import (
	"encoding/json"
	"fmt"
	"time"
)

const (
	// ceilingTerm is how long after a report a host spends no more than its
	// ceiling. It outlasts the restart of a process, so that the next one gets
	// back the rest of the share.
	ceilingTerm = 1250 * time.Millisecond
	// leaseDuration is how long after its last report a host may spend at all. It
	// outlasts a partition of ten seconds.
	leaseDuration = 15 * time.Second
	// reclaimMargin is added to leaseTerm before another host takes a share back.
	// It covers the time that a report was under way.
	reclaimMargin = 5 * time.Second
)

// UsageReport is what one process has spent of its shares.
type UsageReport struct {
	Host        string           `json:"host"`
	Incarnation string           `json:"incarnation"`
	Addr        string           `json:"addr,omitempty"` // for datagrams of other hosts
	Number      int64            `json:"n"`
	StoreTimeMs int64            `json:"t"` // store clock when the report was sent, or a little before
	Customers   map[string]Usage `json:"customers"`
}

// Usage is what a process has spent of one customer's share.
type Usage struct {
	Epoch          int   `json:"e,omitempty"` // of the share
	Spent          int64 `json:"s,omitempty"` // open reservations included
	Ceiling        int64 `json:"c,omitempty"` // Spent stays below it during the short term
	CeilingRate    int64 `json:"r,omitempty"` // tokens per second by which Ceiling rises afterwards
	LongTermDemand int64 `json:"d,omitempty"` // measured demand, tokens per second
	DemandSquare   int64 `json:"q,omitempty"` // of the true demand, estimated; may be below 0
	PeakRequest    int64 `json:"p,omitempty"` // largest recent request, in tokens
	Shortage       int64 `json:"l,omitempty"` // tokens that a request waits for in vain
}

// MaxSpent returns how much of a customer's share of the given amount the
// process may have spent when some time has passed since the report was sent. A
// share that the report does not name came later, and may be spent as a whole.
func (r UsageReport) MaxSpent(customer string, epoch int, amount int64, elapsed time.Duration) int64 {
	u, ok := r.Customers[customer]
	if !ok || u.Epoch != epoch {
		return amount
	}
	limit := u.Ceiling
	if elapsed > ceilingTerm {
		limit += int64(float64(u.CeilingRate) * (min(elapsed, leaseDuration) - ceilingTerm).Seconds())
	}
	return min(amount, limit)
}

// age returns the time since the report on the store's clock.
func (r UsageReport) age(storeTime time.Duration) time.Duration {
	return max(0, storeTime-time.Duration(r.StoreTimeMs)*time.Millisecond)
}

// forCustomer returns the report with the entry of one customer.
func (r UsageReport) forCustomer(customer string) UsageReport {
	u, named := r.Customers[customer]
	r.Customers = nil
	if named {
		r.Customers = map[string]Usage{customer: u}
	}
	return r
}

func (r UsageReport) encode() []byte { return mustEncode(r) }

func decodeUsage(value []byte) (UsageReport, error) {
	var r UsageReport
	if err := json.Unmarshal(value, &r); err != nil {
		return r, fmt.Errorf("usage row: %w", err)
	}
	return r, nil
}

func mustEncode(v any) []byte {
	data, err := json.Marshal(v)
	if err != nil {
		panic("escrow: encode row: " + err.Error()) // numbers and strings always encode
	}
	return data
}
