package commit

import (
	"time"

	"github.com/peppertrail/peppertrail/pkg/lease"
	"github.com/peppertrail/peppertrail/pkg/storage"
)

// Defaults of Options.
const (
	DefaultMaxOps        = 256             // ops per transaction
	DefaultRate          = 15.0            // transactions per second
	DefaultBurst         = 10              // transactions
	DefaultRenewInterval = 5 * time.Second // a third of the holder TTL of 15 s, so that one lost renewal is harmless
)

// Options configure a Committer. Zero values of the limits select the defaults.
type Options struct {
	Table         storage.Table
	Holder        lease.HolderRecord // the holder row as it was registered
	HolderVersion uint64             // version of the holder row
	BundleVersion func() uint64      // returns the bundle version in force, written with each renewal; nil keeps the version in Holder
	OnFenced      func()             // called once, from the committer's goroutine, after every op got ErrFenced; may be nil
	MaxOps        int                // ops per transaction
	Rate          float64            // transactions per second
	Burst         int                // transactions that may be submitted without a delay between them
	RenewInterval time.Duration      // time without a commit after which the holder row is renewed
}

func (o Options) withDefaults() Options {
	if o.MaxOps <= 0 {
		o.MaxOps = DefaultMaxOps
	}
	if o.Rate <= 0 {
		o.Rate = DefaultRate
	}
	if o.Burst <= 0 {
		o.Burst = DefaultBurst
	}
	if o.RenewInterval <= 0 {
		o.RenewInterval = DefaultRenewInterval
	}
	if o.OnFenced == nil {
		o.OnFenced = func() {}
	}
	return o
}
