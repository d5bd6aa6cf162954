package escrow

import "time"

// EndedProcess is the last report of a process that spends nothing any more.
type EndedProcess struct {
	Report UsageReport `json:"report"`
	// EndedBy is a time on the store's clock at which the process had ended, or its
	// lease had.
	EndedBy time.Duration `json:"by_ns"`
}

// maxSpent returns how much of a share the process may have spent.
func (e EndedProcess) maxSpent(customer string, s Share) int64 {
	return e.Report.MaxSpent(customer, s.Epoch, s.Amount, e.Report.age(e.EndedBy))
}
