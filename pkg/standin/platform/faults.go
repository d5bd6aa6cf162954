package platform

import (
	"errors"
	"math/rand/v2"
	"time"
)

// Faults are the faults that the stand-in injects. The zero value injects none.
type Faults struct {
	LatencyMs            int     `json:"latency_ms"`             // delay in milliseconds before each table, object and membership call
	JitterMs             int     `json:"jitter_ms"`              // maximum of an additional random delay in milliseconds, uniformly distributed
	TableDown            bool    `json:"table_down"`             // table calls return 503 and have no effect
	ObjectsDown          bool    `json:"objects_down"`           // object calls return 503 and have no effect
	MembersDown          bool    `json:"members_down"`           // GET /members returns 503
	MaxWritesPerSecond   float64 `json:"max_writes_per_second"`  // transactions above this rate return 429; 0: no limit
	LostReplyProbability float64 `json:"lost_reply_probability"` // probability (0 to 1) that the connection is closed without a reply after the commit
	MembershipLagMs      int     `json:"membership_lag_ms"`      // age in milliseconds at which a change becomes visible in GET /members
}

var errBadFaults = errors.New("faults must not be negative and the probability must be between 0 and 1")

func (f Faults) validate() error {
	negative := f.LatencyMs < 0 || f.JitterMs < 0 || f.MembershipLagMs < 0 || f.MaxWritesPerSecond < 0
	if negative || f.LostReplyProbability < 0 || f.LostReplyProbability > 1 {
		return errBadFaults
	}
	return nil
}

// delay returns the delay of one call, with a new random jitter at each use.
func (f Faults) delay() time.Duration {
	d := time.Duration(f.LatencyMs) * time.Millisecond
	if f.JitterMs > 0 {
		d += rand.N(time.Duration(f.JitterMs) * time.Millisecond)
	}
	return d
}

func (f Faults) membershipLag() time.Duration {
	return time.Duration(f.MembershipLagMs) * time.Millisecond
}
