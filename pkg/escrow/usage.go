package escrow

import (
	"encoding/json"
	"fmt"
	"time"
)

const (
	// ceilingTerm is how long after a report a process spends no more than its
	// ceiling. It is longer than a restart of the process takes, so that the
	// next process recovers the part of the share above the ceiling.
	ceilingTerm = 1250 * time.Millisecond
	// burstRamp is the time after ceilingTerm in which the burst of a process becomes
	// available. Processes that are killed while the table is reachable are usually
	// replaced early in it, and little of their bursts is lost.
	burstRamp = 3 * time.Second
	// leaseDuration is how long after its last report a process may spend at
	// all. It is longer than a network partition of ten seconds.
	leaseDuration = 15 * time.Second
	// reclaimMargin is added to leaseDuration before another host reclaims a
	// share. It covers the transmission time of a report.
	reclaimMargin = 5 * time.Second
)

// UsageReport is what one process has used from its shares and may use until
// its next report.
type UsageReport struct {
	Host        string           `json:"host"`           // host of the process
	Incarnation string           `json:"incarnation"`    // unique name of the process
	Addr        string           `json:"addr,omitempty"` // address at which other hosts reach the host of the process; empty: none
	Number      int64            `json:"n"`              // number of the report, rises with each report of the process
	StoreTimeMs int64            `json:"t"`              // store clock when the report was sent, or slightly before, in milliseconds
	Customers   map[string]Usage `json:"customers"`      // by customer
	// Complete means that the process has spent nothing from a share that the report does
	// not list. It is false once the process has lost a share, and in reports of earlier
	// versions.
	Complete bool `json:"all,omitempty"`
	// Era is the store's era in which the report was prepared; 0: the store names none, or the
	// process is one of an earlier release.
	Era uint64 `json:"era,omitempty"`
}

// isOutdated reports whether the report may not be the last one of its process: it comes from
// the copy from which the store has returned, which may lack later ones.
func (r UsageReport) isOutdated(era uint64) bool { return r.Era != 0 && r.Era < era }

// withoutLimits returns the report of a process of which later ones may be lost: all of its
// shares may be spent.
func (r UsageReport) withoutLimits() UsageReport {
	r.Customers, r.Complete = nil, false
	return r
}

// Usage is what a process has used from its share of one customer's budget and
// may use until its next report.
type Usage struct {
	Epoch          int   `json:"e,omitempty"` // epoch of the share
	Used           int64 `json:"s,omitempty"` // tokens used, open reservations included
	Ceiling        int64 `json:"c,omitempty"` // upper limit of the tokens used, until ceilingTerm after the report
	CeilingRate    int64 `json:"r,omitempty"` // upper bound of the rate at which the limit rises after ceilingTerm, in tokens per second
	SustainedRate  int64 `json:"u,omitempty"` // tokens per second by which the limit rises once Burst is reached
	Burst          int64 `json:"b,omitempty"` // tokens by which the limit may be ahead of SustainedRate; 0 in reports of earlier versions, which have CeilingRate alone
	LongTermDemand int64 `json:"d,omitempty"` // measured demand, tokens per second
	DemandSquare   int64 `json:"q,omitempty"` // estimated square of the true long-term demand, (tokens per second)²; may be negative
	PeakRequest    int64 `json:"p,omitempty"` // tokens of the largest recent request
	ShortageTokens int64 `json:"l,omitempty"` // tokens that a request needs and cannot get; 0: none
}

// MaxSpent returns the upper bound of the tokens that the process has spent from
// a share of the given amount when the time elapsed has passed since the report
// was sent. Of a share that the report does not list, nothing is spent if the report
// is complete; otherwise all of it may be.
func (r UsageReport) MaxSpent(customer string, epoch int, amount int64, elapsed time.Duration) int64 {
	u, ok := r.Customers[customer]
	if !ok || u.Epoch != epoch {
		if r.Complete {
			return 0
		}
		return amount
	}
	limit := u.Ceiling
	if elapsed > ceilingTerm {
		limit += u.rise(min(elapsed, leaseDuration) - ceilingTerm)
	}
	return min(amount, limit)
}

// rise returns the tokens by which the limit is above the ceiling when the given time has
// passed after ceilingTerm. It is never more than earlier versions assume, which know
// only CeilingRate.
func (u Usage) rise(elapsed time.Duration) int64 {
	most := int64(float64(u.CeilingRate) * elapsed.Seconds())
	if u.Burst == 0 {
		return most
	}
	return min(most, u.Burst+int64(float64(u.SustainedRate)*elapsed.Seconds()))
}

// maxLimit returns the most tokens that the report has allowed by one of its entries until a time
// on the store's clock, or until the lease is over.
func (r UsageReport) maxLimit(u Usage, until time.Duration) int64 {
	elapsed := min(max(0, until-r.sentAt()), leaseDuration)
	return u.Ceiling + u.rise(max(0, elapsed-ceilingTerm))
}

// sentAt returns the store's clock when the report was sent, or slightly before.
func (r UsageReport) sentAt() time.Duration { return time.Duration(r.StoreTimeMs) * time.Millisecond }

// age returns the age of the report on the store's clock.
func (r UsageReport) age(storeTime time.Duration) time.Duration {
	return max(0, storeTime-time.Duration(r.StoreTimeMs)*time.Millisecond)
}

// forCustomer returns a copy of the report with only one customer's entry.
func (r UsageReport) forCustomer(customer string) UsageReport {
	u, listed := r.Customers[customer]
	r.Customers = nil
	if listed {
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
	if err := r.validate(); err != nil {
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
