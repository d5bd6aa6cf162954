package escrow

import "time"

// Status is what a host holds of one budget.
type Status struct {
	Customer       string        `json:"customer"`
	Prepaid        int64         `json:"prepaid"`
	Held           int64         `json:"held"`      // by this host
	Spent          int64         `json:"spent"`     // of Held
	Reserved       int64         `json:"reserved"`  // of Held, by open requests
	Limit          int64         `json:"limit"`     // of spent and reserved tokens now
	Settled        int64         `json:"settled"`   // spent from closed shares, as last seen
	Allotted       int64         `json:"allotted"`  // spent or held by any host, as last seen
	Brokered       bool          `json:"brokered"`  // another host changes the account for this one
	Demand         int64         `json:"demand"`    // tokens per second
	ReportAge      time.Duration `json:"report_ns"` // since the last report that the table has taken
	Reachable      bool          `json:"reachable"` // the account answers
	OutcomeUnknown bool          `json:"unknown"`   // the outcome of a transaction is unknown
}
