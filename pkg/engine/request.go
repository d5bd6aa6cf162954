package engine

import (
	"fmt"
	"net/http"
	"net/url"
	"strings"

	"github.com/peppertrail/peppertrail/pkg/target"
)

// serviceRequest returns the request of a call to a plain service.
func serviceRequest(call Call) (*http.Request, error) {
	if !strings.HasPrefix(call.Path, "/") {
		return nil, fmt.Errorf("%w: path %q does not start with a slash", errBadCall, call.Path)
	}
	u, err := url.ParseRequestURI(call.Path)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", errBadCall, err)
	}
	u.Scheme, u.Host = "http", call.Target.Addr
	header := forwardable(call.Header)
	removeAll(header, requestOnlyHeaders)
	return &http.Request{Method: call.Method, URL: u, Header: header}, nil
}

// streamRequest returns a request about a known stream.
func streamRequest(method string, t target.Target, stream string) *http.Request {
	return &http.Request{
		Method: method,
		URL: &url.URL{
			Scheme: "http", Host: t.Addr,
			Path:    "/v1/streams/" + stream,
			RawPath: "/v1/streams/" + escapeSegment(stream),
		},
		Header: make(http.Header),
	}
}

// escapeSegment escapes a path segment. A plus sign is escaped as well, since
// some routers read it as a space.
func escapeSegment(s string) string {
	return strings.ReplaceAll(url.PathEscape(s), "+", "%2B")
}
