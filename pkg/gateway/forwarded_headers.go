package gateway

import (
	"net/http"
	"net/textproto"
	"strings"
)

// hopByHopHeaders apply to a single connection and are not forwarded.
var hopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// strippedRequestHeaders are request headers that are not forwarded to a target: the
// customer's credentials, the headers that daemons use to control targets, and the
// headers that the HTTP client sets itself.
var strippedRequestHeaders = []string{
	"Authorization", idempotencyKeyHeader, "X-Stream-Id", "X-Priority", "X-Fencing",
	"Content-Length", "Expect", "Host",
}

// requestHeader returns the caller's headers that are forwarded to a plain service.
func requestHeader(h http.Header) http.Header {
	forwarded := endToEndHeaders(h)
	for _, name := range strippedRequestHeaders {
		forwarded.Del(name)
	}
	return forwarded
}

// responseHeader returns the response headers of a plain service that are forwarded to
// the caller.
func responseHeader(h http.Header) http.Header {
	forwarded := endToEndHeaders(h)
	forwarded.Del("Content-Length")
	return forwarded
}

// endToEndHeaders returns a copy of h without hop-by-hop headers, including those listed
// in Connection, and without the headers of this API.
func endToEndHeaders(h http.Header) http.Header {
	forwarded := h.Clone()
	if forwarded == nil {
		forwarded = make(http.Header)
	}
	for _, list := range h.Values("Connection") {
		for name := range strings.SplitSeq(list, ",") {
			forwarded.Del(textproto.TrimString(name))
		}
	}
	for _, name := range hopByHopHeaders {
		forwarded.Del(name)
	}
	for name := range forwarded {
		if strings.HasPrefix(name, apiHeaderPrefix) {
			forwarded.Del(name)
		}
	}
	return forwarded
}
