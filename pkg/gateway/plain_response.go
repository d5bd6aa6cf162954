package gateway

import (
	"time"

	"github.com/peppertrail/peppertrail/pkg/engine"
)

// sendPlain sends the answer of a plain service.
func (x *exchange) sendPlainResponse(response engine.Response) {
	_ = x.control.SetWriteDeadline(time.Now().Add(x.server.opts.StallTimeout))
	h := x.w.Header()
	for name, values := range responseHeader(response.Header) {
		h[name] = values
	}
	h.Set(requestIDHeader, x.id)
	x.w.WriteHeader(response.Status)
	// The answer is settled, so it makes no difference whether the caller took it.
	_, _ = x.w.Write(response.Body)
}
