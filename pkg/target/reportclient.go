package target

import (
	"errors"
	"net"
	"net/http"
)

// errRedirected means that a target answered a report request with a redirect.
var errRedirected = errors.New("report request was redirected")

// reportClient returns the HTTP client that reads reports. It keeps one
// connection per target open, ignores proxy settings and follows no
// redirects, since a report describes only the process at its own address.
func reportClient() *http.Client {
	return &http.Client{
		Timeout: ReportTimeout,
		Transport: &http.Transport{
			DialContext:            (&net.Dialer{Timeout: ReportTimeout}).DialContext,
			MaxIdleConnsPerHost:    1,
			MaxResponseHeaderBytes: MaxReportBytes,
		},
		CheckRedirect: func(*http.Request, []*http.Request) error { return errRedirected },
	}
}
