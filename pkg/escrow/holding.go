package escrow

import "time"

const (
	// shortTerm is how long after a report a host spends no more than its
	// ceiling. It outlasts the restart of a process, so that the next one gets
	// back the rest of the holding.
	shortTerm = 2 * time.Second
	// leaseTerm is how long after its last report a host may spend at all. It
	// outlasts a partition of ten seconds.
	leaseTerm = 15 * time.Second
	// reclaimMargin is added to leaseTerm before other hosts take a holding
	// back. It covers the time that a report was under way.
	reclaimMargin = 5 * time.Second
)

// Holding is the part of a budget that one host may spend, as of its last report.
type Holding struct {
	Incarnation string `json:"i"`
	Report      int64  `json:"n"`           // number of the report
	Amount      int64  `json:"a"`           // tokens debited from the budget
	Spent       int64  `json:"s"`           // of Amount, open reservations included
	Ceiling     int64  `json:"c"`           // Spent stays below it during the short term
	Rate        int64  `json:"r"`           // tokens per second by which Ceiling rises after the short term
	Usual       int64  `json:"d"`           // measured demand, tokens per second
	Peak        int64  `json:"p,omitempty"` // largest recent request, in tokens
	Lacking     int64  `json:"l,omitempty"` // tokens that a request waits for
	StampMs     int64  `json:"t"`           // store clock when the report was sent, or a little before
}

// MaxSpent returns what the host may have spent at most when the given time has
// passed since the report was sent.
func (h Holding) MaxSpent(elapsed time.Duration) int64 {
	if elapsed < shortTerm {
		return min(h.Amount, h.Ceiling)
	}
	beyond := min(elapsed, leaseTerm) - shortTerm
	return min(h.Amount, h.Ceiling+int64(float64(h.Rate)*beyond.Seconds()))
}

// age returns the time since the report on the store's clock.
func (h Holding) age(storeNow time.Duration) time.Duration {
	return max(0, storeNow-time.Duration(h.StampMs)*time.Millisecond)
}
