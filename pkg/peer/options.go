package peer

import (
	"crypto/tls"
	"time"
)

// DefaultTimeout is the default of Options.Timeout. It exceeds the 250 ms for
// which a home waits for the commit of a settlement.
const DefaultTimeout = 300 * time.Millisecond

// Options configure clients.
type Options struct {
	Timeout time.Duration // bound of a call, including a new connection; 0 selects DefaultTimeout
	TLS     *tls.Config   // with the client's certificate and the roots of the peers; nil for plain TCP
}

func (o Options) withDefaults() Options {
	if o.Timeout <= 0 {
		o.Timeout = DefaultTimeout
	}
	return o
}
