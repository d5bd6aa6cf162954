package httpstrict

import (
	"fmt"
	"net"
	"net/http"
	"net/http/httptrace"
)

// Transport is an http.Transport that returns an error for a response that CheckHead rejects, and
// closes its connection.
type Transport struct {
	*http.Transport
}

// RoundTrip implements http.RoundTripper.
func (t Transport) RoundTrip(r *http.Request) (*http.Response, error) {
	var conn net.Conn
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) { conn = info.Conn }}
	response, err := t.Transport.RoundTrip(r.WithContext(httptrace.WithClientTrace(r.Context(), trace)))
	if err != nil {
		return nil, err
	}
	if err := CheckHead(response); err != nil {
		// Closing the body alone may leave the connection to other requests, which would receive
		// what is left of the response.
		_ = conn.Close()
		_ = response.Body.Close()
		return nil, fmt.Errorf("invalid response of %s: %w", conn.RemoteAddr(), err)
	}
	return response, nil
}
