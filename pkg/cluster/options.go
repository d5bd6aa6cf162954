package cluster

import (
	"time"

	"github.com/peppertrail/peppertrail/pkg/lease"
	"github.com/peppertrail/peppertrail/pkg/storage"
)

// Defaults of Options.
const (
	// DefaultMaxScanInterval keeps the scan traffic of each daemon in a fleet of 340
	// daemons (340 rows per scan) below 23 KB/s, the limit for the control-plane
	// traffic of one daemon.
	DefaultMaxScanInterval    = 5 * time.Second
	DefaultTTL                = 15 * time.Second
	DefaultUnreachableTimeout = 3 * time.Second
)

// Options configure a View. Zero durations select the defaults.
type Options struct {
	Table              storage.Table
	Self               lease.HolderRecord          // this daemon, always part of the view; an empty incarnation makes the view a read-only observer
	MaxScanInterval    time.Duration               // longest time between scans of the holder rows
	TTL                time.Duration               // time without a renewal after which a daemon is not live
	UnreachableTimeout time.Duration               // how long a peer is excluded after this daemon failed to reach it
	Homes              int                         // number of daemons per region that act as homes; 0 means all
	OnBadRow           func(key string, err error) // called for each holder row that cannot be decoded and is therefore skipped; may be nil
}

func (o Options) withDefaults() Options {
	if o.MaxScanInterval <= 0 {
		o.MaxScanInterval = DefaultMaxScanInterval
	}
	if o.TTL <= 0 {
		o.TTL = DefaultTTL
	}
	if o.UnreachableTimeout <= 0 {
		o.UnreachableTimeout = DefaultUnreachableTimeout
	}
	if o.OnBadRow == nil {
		o.OnBadRow = func(string, error) {}
	}
	return o
}
