package ratelimit

import "time"

// PermitRequest asks an issuer for the permit to send one request to a target.
type PermitRequest struct {
	Host  string `json:"host"`            // address of the host that asks
	Light bool   `json:"light,omitempty"` // others are to get the permit first
	Limit Limit  `json:"limit"`           // what that host knows of the target
}

// PermitReply answers a PermitRequest. A permit is for a request that is sent at once.
type PermitReply struct {
	Granted bool          `json:"granted"`
	Wait    time.Duration `json:"wait_ns,omitempty"` // if not granted: the time after which to ask again
	Limit   Limit         `json:"limit"`             // what the issuer knows of the target; zero: nothing
}
