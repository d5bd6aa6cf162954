package escrow

import "time"

// ReserveRequest asks the broker of an account to take the tokens of one request from the
// broker's own share. A host that sees few requests of a customer needs no share for them:
// divided among hundreds of hosts, shares would be smaller than one request.
type ReserveRequest struct {
	Customer    string `json:"customer"`
	Incarnation string `json:"incarnation"` // process that asks
	Number      int64  `json:"n"`           // number of the reservation, unique in the process
	Tokens      int64  `json:"tokens"`      // the most that the request may cost
	// Wait is how long the broker may wait for tokens.
	Wait time.Duration `json:"wait_ns"`
	// ValidFor is the time after which the broker counts all tokens as spent if the
	// reservation is not settled.
	ValidFor time.Duration `json:"valid_ns"`
}

// ReserveReply is the broker's reply to a ReserveRequest.
type ReserveReply struct {
	Granted bool `json:"granted"`
	// Exhausted means that the rest of the budget does not cover the request. It, Reason
	// and RetryAfter are set if the tokens are not granted.
	Exhausted  bool          `json:"exhausted,omitempty"`
	Reason     string        `json:"reason,omitempty"`
	RetryAfter time.Duration `json:"retry_ns,omitempty"`
	// Settled and Others are what the broker knows of the account, without the share of
	// the process that asks.
	Settled int64       `json:"settled"`
	Others  otherShares `json:"others"`
}

// Settlement ends a reservation that a broker has granted.
type Settlement struct {
	Customer string `json:"customer"`
	Number   int64  `json:"n"` // ReserveRequest.Number
	// Spent is the number of tokens spent. It is 0 for a reservation whose reply was lost.
	Spent int64 `json:"spent,omitempty"`
}

// SettleRequest settles reservations of one process.
type SettleRequest struct {
	Incarnation string       `json:"incarnation"`
	Settlements []Settlement `json:"settlements"`
}
