package gateway

import (
	"net/http"
	"net/textproto"
	"strings"
)

// hopHeaders belong to one connection and are not passed on.
var hopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// callerOnly are request headers that must not reach a target: the customer's
// key, the headers that carry the daemon's commands, and what the client sets itself.
var strippedRequestHeaders = []string{
	"Authorization", idempotencyKeyHeader, "X-Stream-Id", "X-Priority", "X-Fencing",
	"Content-Length", "Expect", "Host",
}

// requestHeader returns the headers of a caller that go to a plain service.
func requestHeader(h http.Header) http.Header {
	forwarded := endToEndHeaders(h)
	for _, name := range strippedRequestHeaders {
		forwarded.Del(name)
	}
	return forwarded
}

// responseHeader returns the headers of a plain service that go to the caller.
func responseHeader(h http.Header) http.Header {
	forwarded := endToEndHeaders(h)
	forwarded.Del("Content-Length")
	return forwarded
}

// endToEnd returns a copy without the headers of one connection and without
// those of this API.
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
