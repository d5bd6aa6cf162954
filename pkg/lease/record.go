// Package lease implements the holder rows, which control which daemon
// incarnations may write to the table, and leases of roles that one daemon
// holds at a time, with fencing numbers.
package lease

// HolderRecord is the table row of a daemon incarnation, at key HolderKey.
// Every commit of the incarnation requires and rewrites it, so that a commit
// is also a renewal and a fenced incarnation cannot write.
type HolderRecord struct {
	Incarnation   string `json:"incarnation"`
	Host          string `json:"host"`
	PeerAddr      string `json:"peer_addr"` // JSON-RPC address as IP:port
	Region        string `json:"region"`
	FailureDomain string `json:"failure_domain"`
	Renewals      uint64 `json:"renewals"`       // number of times the incarnation rewrote the row
	Fenced        bool   `json:"fenced"`         // set by the daemon that holds the repair role; the incarnation may not write again
	Stopped       bool   `json:"stopped"`        // set by a graceful stop after every grant was closed
	BundleVersion uint64 `json:"bundle_version"` // version of the bundle in force at the daemon when it wrote the row
}

// HolderPrefix is the key prefix of all holder rows.
const HolderPrefix = "holder/"

// HolderKey returns the table key of a daemon incarnation.
func HolderKey(incarnation string) string { return HolderPrefix + incarnation }

// RoleRecord is the table row of a role that one daemon holds at a time.
type RoleRecord struct {
	Role     string `json:"role"`
	Holder   string `json:"holder"`   // incarnation of the daemon that holds the role, "" if the role is free
	Fencing  uint64 `json:"fencing"`  // fencing number; increases with each take-over
	Renewals uint64 `json:"renewals"` // increases with each take-over, renewal and release
}

// RoleKey returns the table key of a role.
func RoleKey(role string) string { return "lease/" + role }
