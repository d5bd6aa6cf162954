package remote

import (
	"net"
	"net/http"
	"time"
)

// The default transport keeps two idle connections per host, so that most
// concurrent calls would open a connection each.
const (
	maxIdleConns    = 128
	maxConns        = 512
	idleConnTimeout = 90 * time.Second
	dialTimeout     = 2 * time.Second
	keepAlive       = 15 * time.Second
)

func newTransport() *http.Transport {
	dialer := &net.Dialer{Timeout: dialTimeout, KeepAlive: keepAlive}
	return &http.Transport{
		DialContext:         dialer.DialContext,
		MaxIdleConns:        maxIdleConns,
		MaxIdleConnsPerHost: maxIdleConns,
		MaxConnsPerHost:     maxConns,
		IdleConnTimeout:     idleConnTimeout,
		TLSHandshakeTimeout: dialTimeout,
		DisableCompression:  true,
	}
}
