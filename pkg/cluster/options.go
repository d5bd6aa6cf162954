package cluster

import (
	"time"

	"github.com/peppertrail/peppertrail/pkg/lease"
	"github.com/peppertrail/peppertrail/pkg/storage"
)

// Defaults of Options.
const (
	// DefaultInterval keeps the scans of 340 daemons of 340 rows below the
	// 23 KB/s that the control plane of a daemon may use.
	DefaultInterval           = 5 * time.Second
	DefaultTTL                = 15 * time.Second
	DefaultUnreachableTimeout = 3 * time.Second
)

// Options configure a View. Zero durations select the defaults.
type Options struct {
	Table              storage.Table
	Self               lease.HolderRecord          // this daemon, always part of the view; without an incarnation the view only observes
	Interval           time.Duration               // time between scans
	TTL                time.Duration               // time without a renewal after which a daemon is not live
	UnreachableTimeout time.Duration               // how long an unreachable peer is left out
	Homes              int                         // daemons of each region that act as homes; 0: all
	OnBadRow           func(key string, err error) // called for each row that cannot be decoded, which is left out; may be nil
}

func (o Options) withDefaults() Options {
	if o.Interval <= 0 {
		o.Interval = DefaultInterval
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
