package peer

import (
	"crypto/tls"
	"time"
)

// DefaultTimeout is the default of Options.Timeout. It is longer than the 250 ms for
// which a home may delay a reservation, and than settleReplyTimeout.
const DefaultTimeout = 300 * time.Millisecond

// Options configure clients.
type Options struct {
	Timeout time.Duration // time limit of a call, including connecting; 0 selects DefaultTimeout
	TLS     *tls.Config   // client certificate and root CAs of the peers; nil for plain TCP
}

func (o Options) withDefaults() Options {
	if o.Timeout <= 0 {
		o.Timeout = DefaultTimeout
	}
	return o
}
