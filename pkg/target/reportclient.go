package target

import (
	"errors"
	"net"
	"net/http"
	"time"
)

// errRedirected means that a target answered a report request with a redirect.
var errRedirected = errors.New("report request was redirected")

// reportIdleTimeout closes the connections of targets that are no longer
// polled. It exceeds the interval for gone targets.
const reportIdleTimeout = 10 * time.Second

// reportClient returns the HTTP client that reads reports. It keeps one
// connection per target open, ignores proxy settings and follows no
// redirects, since a report describes only the process at its own address.
func reportClient() *http.Client {
	return &http.Client{
		Timeout: ReportTimeout,
		Transport: &http.Transport{
			DialContext:            (&net.Dialer{Timeout: ReportTimeout}).DialContext,
			MaxIdleConnsPerHost:    1,
			IdleConnTimeout:        reportIdleTimeout,
			MaxResponseHeaderBytes: MaxReportBytes,
		},
		CheckRedirect: func(*http.Request, []*http.Request) error { return errRedirected },
	}
}
