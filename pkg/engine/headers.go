package engine

import (
	"net/http"
	"slices"
	"strings"
)

// Headers between daemons and targets.
const (
	headerStream   = "X-Stream-Id"
	headerPriority = "X-Priority"
	headerFencing  = "X-Fencing"
)

// hopHeaders concern one connection and are not forwarded (RFC 9110, section 7.6.1).
var hopHeaders = []string{
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

// requestOnlyHeaders are replaced by the client. net/http takes an idempotency
// key as permission to send a request twice.
var requestOnlyHeaders = []string{
	"Content-Length",
	"Expect",
	"Host",
	"Idempotency-Key",
	"X-Idempotency-Key",
}

// forwardable returns a copy of h without the headers that concern one connection.
func forwardable(h http.Header) http.Header {
	out := h.Clone()
	if out == nil {
		out = make(http.Header)
	}
	for _, list := range h["Connection"] {
		for name := range strings.SplitSeq(list, ",") {
			out.Del(strings.TrimSpace(name))
		}
	}
	removeAll(out, hopHeaders)
	return out
}

// removeAll deletes headers by name, whatever the case of their keys.
func removeAll(h http.Header, names []string) {
	for key := range h {
		if slices.Contains(names, http.CanonicalHeaderKey(key)) {
			delete(h, key)
		}
	}
}
