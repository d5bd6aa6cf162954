package engine

import (
	"fmt"
	"net/http"
	"net/url"
	"strings"

	"github.com/peppertrail/peppertrail/pkg/target"
)

// serviceRequest returns the HTTP request, without body, of a call to a plain
// service.
func serviceRequest(call Call) (*http.Request, error) {
	if !strings.HasPrefix(call.Path, "/") {
		return nil, fmt.Errorf("%w: path %q does not start with a slash", errInvalidCall, call.Path)
	}
	u, err := url.ParseRequestURI(call.Path)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", errInvalidCall, err)
	}
	u.Scheme, u.Host = "http", call.Target.Addr
	header := forwardableHeaders(call.Header)
	removeHeaders(header, clientControlledHeaders)
	return &http.Request{Method: call.Method, URL: u, Header: header}, nil
}

// streamRequest returns an HTTP request about a stream that was dispatched earlier.
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

// escapeSegment escapes a path segment, including plus signs, which some routers
// decode as spaces.
func escapeSegment(s string) string {
	return strings.ReplaceAll(url.PathEscape(s), "+", "%2B")
}
