package target

import (
	"errors"
	"net"
	"net/http"
	"time"

	"github.com/peppertrail/peppertrail/pkg/httpstrict"
)

// errRedirected is returned when a target responds to a report request with a
// redirect.
var errRedirected = errors.New("target answered the report request with a redirect")

// reportIdleTimeout is how long the idle connection to a target stays open, so
// that connections to targets that are no longer polled are closed. It exceeds
// the poll interval for gone targets.
const reportIdleTimeout = 10 * time.Second

// reportClient returns the HTTP client for report requests. It keeps one idle
// connection per target, ignores proxy settings and follows no redirects, since
// a report describes only the process at the requested address.
func reportClient() *http.Client {
	return &http.Client{
		Timeout: ReportTimeout,
		Transport: httpstrict.Transport{Transport: &http.Transport{
			DialContext:            httpstrict.DialContext(&net.Dialer{Timeout: ReportTimeout}),
			MaxIdleConnsPerHost:    1,
			IdleConnTimeout:        reportIdleTimeout,
			MaxResponseHeaderBytes: MaxReportBytes,
		}},
		CheckRedirect: func(*http.Request, []*http.Request) error { return errRedirected },
	}
}
