package escrow

import "time"

// Status is the state of one customer's budget as this host knows it. Amounts
// are in tokens.
type Status struct {
	Customer       string        `json:"customer"`
	Prepaid        int64         `json:"prepaid"`
	Held           int64         `json:"held"`                 // tokens of this host's share
	Spent          int64         `json:"spent"`                // spent from Held
	Reserved       int64         `json:"reserved"`             // reserved from Held by open requests
	Limit          int64         `json:"limit"`                // current limit for Spent and Reserved together
	Settled        int64         `json:"settled"`              // spent from closed shares, as last read
	Allotted       int64         `json:"allotted"`             // settled or held by any host, as last read
	Brokered       bool          `json:"brokered"`             // another host changes the account for this one
	Demand         int64         `json:"demand"`               // recent demand on this host, tokens per second
	ReportAge      time.Duration `json:"report_ns"`            // age of the last usage report that the table has stored
	Reachable      bool          `json:"reachable"`            // the last call for the account succeeded
	OutcomeUnknown bool          `json:"unknown"`              // the outcome of a change of the share or of a usage report is unknown
	Era            uint64        `json:"era,omitempty"`        // era of the store in which the account was last read or written; 0: none
	Recovering     bool          `json:"recovering,omitempty"` // the store has returned from an older copy, and the account grants nothing until its shares are recovered
}
