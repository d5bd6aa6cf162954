package escrow

import "time"

// EndedProcess is a process that may no longer spend, with its last usage
// report.
type EndedProcess struct {
	Report UsageReport `json:"report"`
	// EndedBy is a time on the store's clock at or before which the process
	// had ended or its lease had expired.
	EndedBy time.Duration `json:"by_ns"`
}

// maxSpent returns the upper bound of the tokens that the process has spent
// from a share.
func (e EndedProcess) maxSpent(customer string, s Share) int64 {
	return e.Report.MaxSpent(customer, s.Epoch, s.Amount, e.Report.age(e.EndedBy))
}
