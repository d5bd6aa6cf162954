package gateway

import (
	"time"

	"github.com/peppertrail/peppertrail/pkg/engine"
)

// sendPlainResponse sends the response of a plain service to the caller.
func (x *exchange) sendPlainResponse(response engine.Response) {
	_ = x.control.SetWriteDeadline(time.Now().Add(x.server.opts.StallTimeout))
	h := x.w.Header()
	for name, values := range responseHeader(response.Header) {
		h[name] = values
	}
	h.Set(requestIDHeader, x.id)
	x.w.WriteHeader(response.Status)
	// The response is settled, so a write error changes nothing.
	_, _ = x.w.Write(response.Body)
}
