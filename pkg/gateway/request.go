package gateway

import (
	"net/http"
	"time"

	"github.com/peppertrail/peppertrail/pkg/bundle"
	"github.com/peppertrail/peppertrail/pkg/route"
)

// request is an admitted request.
type request struct {
	customer      bundle.Customer
	service       bundle.Service
	budget        string
	id            string // idempotency key or a generated id
	fingerprint   string
	nonIdempotent bool
	priority      int       // 0 to 9, capped by the customer's
	deadline      time.Time // zero: none
	bound         int64     // tokens, upper bound of the cost
	body          []byte    // for the target

	// Completions only.
	stream    bool   // the caller asked for server-sent events
	maxOutput int64  // tokens
	prefix    string // start of the prompt

	// Plain services only.
	plain  bool
	method string
	path   string // with the query
	header http.Header
}

// routeRequest returns what the choice of a target depends on.
func (r *request) routeRequest(exclude []string) route.Request {
	return route.Request{
		Service:  r.service.Name,
		Prefix:   r.prefix,
		Priority: r.priority,
		Deadline: r.deadline,
		Exclude:  exclude,
	}
}
