package remote

import (
	"net"
	"net/http"
	"time"

	"github.com/peppertrail/peppertrail/pkg/httpstrict"
)

// Settings of the transport. The default transport keeps only two idle connections
// per host, so most concurrent calls would each open a connection.
const (
	maxIdleConns      = 128
	maxConnsPerHost   = 512
	idleConnTimeout   = 90 * time.Second
	dialTimeout       = 2 * time.Second
	keepAliveInterval = 15 * time.Second
)

func newTransport() http.RoundTripper {
	dialer := &net.Dialer{Timeout: dialTimeout, KeepAlive: keepAliveInterval}
	return httpstrict.Transport{Transport: &http.Transport{
		DialContext:         httpstrict.DialContext(dialer),
		MaxIdleConns:        maxIdleConns,
		MaxIdleConnsPerHost: maxIdleConns,
		MaxConnsPerHost:     maxConnsPerHost,
		IdleConnTimeout:     idleConnTimeout,
		TLSHandshakeTimeout: dialTimeout,
		DisableCompression:  true,
	}}
}
