package gateway

import (
	"errors"
	"time"

	"github.com/peppertrail/peppertrail/pkg/engine"
	"github.com/peppertrail/peppertrail/pkg/telemetry"
	"github.com/phuslu/log"
)

// Default limits.
const (
	DefaultMaxBodyBytes   = 4 << 20
	DefaultSettleWait     = 250 * time.Millisecond
	DefaultRequestTimeout = 10 * time.Minute
	DefaultStallTimeout   = 30 * time.Second
	// DefaultMaxPendingSettlements limits the memory of the outbox to about 32 MB, at about 500
	// bytes per settlement.
	DefaultMaxPendingSettlements = 65536
)

// Options are the dependencies and limits of a Server. All dependencies except Claims
// are required. A limit of zero is replaced by its default.
type Options struct {
	Catalogs    CatalogSource
	Picker      Picker
	Targets     Targets
	Authorities Authorities
	Engine      engine.Client
	RetryBudget RetryBudget
	Identity    Identity
	Claims      Claims // if nil, the verdict of a refusal ignores earlier requests with the same idempotency key
	Metrics     *telemetry.Metrics
	Journal     *telemetry.Journal
	Logger      *log.Logger

	MaxBodyBytes          int64         // maximum size of a request body, in bytes
	SettleWait            time.Duration // maximum wait for a durable bill line before the last event is sent
	RequestTimeout        time.Duration // maximum duration of a request
	StallTimeout          time.Duration // maximum time for reading a request body; also how long a write may block before the caller is disconnected
	MaxPendingSettlements int           // number of settlements in the outbox at which new requests are refused
}

// withDefaults returns the options with zero limits replaced by their defaults.
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
	if o.MaxPendingSettlements == 0 {
		o.MaxPendingSettlements = DefaultMaxPendingSettlements
	}
	return o
}

// validate returns an error if a required dependency is nil.
func (o Options) validate() error {
	missing := o.Catalogs == nil || o.Picker == nil || o.Targets == nil || o.Authorities == nil ||
		o.Engine == nil || o.RetryBudget == nil || o.Identity == nil ||
		o.Metrics == nil || o.Journal == nil || o.Logger == nil
	if missing {
		return errors.New("gateway: a part is missing from the options")
	}
	return nil
}
