package engine

import (
	"net/http"
	"slices"
	"strings"
)

// Headers of requests from daemons to targets. A target may repeat headerStream in
// its response.
const (
	headerStream   = "X-Stream-Id"
	headerPriority = "X-Priority"
	headerFencing  = "X-Fencing"
)

// hopByHopHeaders apply to one connection and are not forwarded (RFC 9110, section 7.6.1).
var hopByHopHeaders = []string{
	"Connection",
	"Keep-Alive",
	"Proxy-Authenticate",
	"Proxy-Authorization",
	"Proxy-Connection",
	"Te",
	"Trailer",
	"Transfer-Encoding",
	"Upgrade",
}

// clientControlledHeaders are removed from forwarded requests, since HTTPClient and
// net/http control them. In particular, net/http retries requests that have an
// idempotency key.
var clientControlledHeaders = []string{
	"Content-Length",
	"Expect",
	"Host",
	"Idempotency-Key",
	"X-Idempotency-Key",
}

// forwardableHeaders returns a copy of h without hop-by-hop headers and without
// the headers that Connection lists.
func forwardableHeaders(h http.Header) http.Header {
	out := h.Clone()
	if out == nil {
		out = make(http.Header)
	}
	for _, list := range h["Connection"] {
		for name := range strings.SplitSeq(list, ",") {
			out.Del(strings.TrimSpace(name))
		}
	}
	removeHeaders(out, hopByHopHeaders)
	return out
}

// removeHeaders deletes headers by canonical name, ignoring the case of their keys.
func removeHeaders(h http.Header, names []string) {
	for key := range h {
		if slices.Contains(names, http.CanonicalHeaderKey(key)) {
			delete(h, key)
		}
	}
}
