package storage

import "context"

// MemberKind tells daemons from targets in the membership list.
type MemberKind string

// Kinds of members.
const (
	DaemonMember MemberKind = "daemon"
	TargetMember MemberKind = "target"
)

// MemberState is what the platform says of a member. It lags behind reality.
type MemberState string

// States of members.
const (
	MemberLive    MemberState = "live"
	MemberLeaving MemberState = "leaving"
)

// Member is one entry of the membership list.
type Member struct {
	ID            string      `json:"id"`
	Kind          MemberKind  `json:"kind"`
	Addr          string      `json:"addr"` // host:port, by IP number
	Region        string      `json:"region"`
	FailureDomain string      `json:"failure_domain"`
	Service       string      `json:"service,omitempty"` // targets only
	State         MemberState `json:"state"`
}

// Members is the platform's membership list.
type Members interface {
	// Members returns the list as the platform knows it now.
	Members(ctx context.Context) ([]Member, error)
}
