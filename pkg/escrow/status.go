package escrow

import "time"

// Status is what a host holds of one budget.
type Status struct {
	Customer  string        `json:"customer"`
	Prepaid   int64         `json:"prepaid"`
	Held      int64         `json:"held"`      // by this host
	Spent     int64         `json:"spent"`     // of Held
	Reserved  int64         `json:"reserved"`  // of Held, by open requests
	Limit     int64         `json:"limit"`     // may be spent now
	Allotted  int64         `json:"allotted"`  // spent or held by any host, as last seen
	Demand    int64         `json:"demand"`    // tokens per second
	Holders   int           `json:"holders"`   // hosts with a holding
	ReportAge time.Duration `json:"report_ns"` // since the last report that the table has taken
	Unknown   bool          `json:"unknown"`   // the outcome of a report is unknown
}
