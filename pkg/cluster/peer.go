// Package cluster tracks which daemons are live, as seen by this daemon, and
// selects the home daemon of each budget.
package cluster

import "github.com/peppertrail/peppertrail/pkg/lease"

// Peer is a live daemon.
type Peer struct {
	Incarnation   string
	Addr          string // JSON-RPC address, IP:port
	Region        string
	FailureDomain string
	BundleVersion uint64 // bundle version in the most recent holder row that this daemon read
}

func peerOf(r lease.HolderRecord) Peer {
	return Peer{
		Incarnation:   r.Incarnation,
		Addr:          r.PeerAddr,
		Region:        r.Region,
		FailureDomain: r.FailureDomain,
		BundleVersion: r.BundleVersion,
	}
}
