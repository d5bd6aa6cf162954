package gateway

import (
	"errors"
	"time"

	"github.com/peppertrail/peppertrail/pkg/engine"
	"github.com/peppertrail/peppertrail/pkg/telemetry"
	"github.com/phuslu/log"
)

// Defaults of the limits.
const (
	DefaultMaxBodyBytes   = 4 << 20
	DefaultSettleWait     = 250 * time.Millisecond
	DefaultRequestTimeout = 10 * time.Minute
	DefaultStallTimeout   = 30 * time.Second
	// DefaultMaxPending bounds the memory of the outbox to about 32 MB, at about 500 bytes per settlement.
	DefaultMaxPending = 65536
)

// Options are the parts and limits of a Server. All parts are required; a
// limit of zero takes its default.
type Options struct {
	Directory   Directory
	Picker      Picker
	Targets     Targets
	Authorities Authorities
	Engine      engine.Client
	RetryBudget RetryBudget
	Identity    Identity
	Claims      Claims // nil: refusals speak of the present submission only
	Metrics     *telemetry.Metrics
	Journal     *telemetry.Journal
	Logger      *log.Logger

	MaxBodyBytes   int64         // bytes, largest request body
	SettleWait     time.Duration // longest wait for a durable line before the final token is released
	RequestTimeout time.Duration // longest duration of one request
	StallTimeout   time.Duration // a caller that takes no bytes for this long is disconnected
	MaxPending     int           // settlements in the outbox; above it new requests are refused
}

// withDefaults returns the options with defaults for the limits that are zero.
func (o Options) withDefaults() Options {
	if o.MaxBodyBytes == 0 {
		o.MaxBodyBytes = DefaultMaxBodyBytes
	}
	if o.SettleWait == 0 {
		o.SettleWait = DefaultSettleWait
	}
	if o.RequestTimeout == 0 {
		o.RequestTimeout = DefaultRequestTimeout
	}
	if o.StallTimeout == 0 {
		o.StallTimeout = DefaultStallTimeout
	}
	if o.MaxPending == 0 {
		o.MaxPending = DefaultMaxPending
	}
	return o
}

// check returns an error if a part is missing.
func (o Options) validate() error {
	missing := o.Directory == nil || o.Picker == nil || o.Targets == nil || o.Authorities == nil ||
		o.Engine == nil || o.RetryBudget == nil || o.Identity == nil ||
		o.Metrics == nil || o.Journal == nil || o.Logger == nil
	if missing {
		return errors.New("gateway: a part is missing from the options")
	}
	return nil
}
