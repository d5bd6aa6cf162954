package engine

import "time"

// Defaults of Options.
const (
	DefaultDialTimeout = 2 * time.Second  // allows for several round trips between regions and a lost SYN
	DefaultIdleTimeout = 30 * time.Second // far above the 75 ms between two tokens of a stream; allows for a long queue before the first token
	DefaultMaxBody     = 8 << 20          // bytes
	DefaultMaxEvent    = 1 << 20          // bytes
)

// Options are the settings of an HTTPClient. Zero values select the defaults.
type Options struct {
	DialTimeout time.Duration // time limit for connecting to a target
	IdleTimeout time.Duration // time without a byte from the target after which it counts as down
	MaxBody     int64         // size limit in bytes of a request body and of a buffered response body
	MaxEvent    int           // size limit in bytes of one line and of the data of one server-sent event
}

// withDefaults returns o with defaults in place of zero values.
func (o Options) withDefaults() Options {
	if o.DialTimeout == 0 {
		o.DialTimeout = DefaultDialTimeout
	}
	if o.IdleTimeout == 0 {
		o.IdleTimeout = DefaultIdleTimeout
	}
	if o.MaxBody == 0 {
		o.MaxBody = DefaultMaxBody
	}
	if o.MaxEvent == 0 {
		o.MaxEvent = DefaultMaxEvent
	}
	return o
}
