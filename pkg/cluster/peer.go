// Package cluster gives the live daemons as this daemon sees them, and the
// home of a budget among them.
package cluster

import "github.com/peppertrail/peppertrail/pkg/lease"

// Peer is a live daemon.
type Peer struct {
	Incarnation   string
	Addr          string // JSON-RPC address, by IP number
	Region        string
	FailureDomain string
	BundleVersion uint64 // as of its last renewal that this daemon read
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
