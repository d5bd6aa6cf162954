package storage

import "context"

// MemberKind is the kind of an entry of the membership list.
type MemberKind string

// Kinds of members.
const (
	DaemonMember MemberKind = "daemon"
	TargetMember MemberKind = "target"
)

// MemberState is the state of a member as the platform reports it. The report may
// be out of date.
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
	Addr          string      `json:"addr"` // host:port, with an IP address as host
	Region        string      `json:"region"`
	FailureDomain string      `json:"failure_domain"`
	Service       string      `json:"service,omitempty"` // service of a target; empty for daemons
	State         MemberState `json:"state"`
}

// Members is the platform's membership list.
type Members interface {
	// Members returns the platform's current list.
	Members(ctx context.Context) ([]Member, error)
}
