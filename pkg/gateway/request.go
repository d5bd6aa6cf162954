package gateway

import (
	"net/http"
	"time"

	"github.com/peppertrail/peppertrail/pkg/bundle"
	"github.com/peppertrail/peppertrail/pkg/route"
)

// request holds the validated fields of a request.
type request struct {
	customer      bundle.Customer
	service       bundle.Service
	budget        string
	id            string // idempotency key, or a generated id if absent
	fingerprint   string
	nonIdempotent bool
	priority      int       // 0 to 9, limited by the customer's MaxPriority
	deadline      time.Time // zero if the caller set none
	bound         int64     // upper bound of the cost, in tokens
	body          []byte    // body sent to the target

	// Fields of completions only.
	stream    bool   // whether the caller requested server-sent events
	maxOutput int64  // maximum completion tokens
	prefix    string // start of the prompt, for cache affinity

	// Fields of calls to plain services only.
	plain  bool
	method string
	path   string // escaped, including the query
	header http.Header
}

// routeRequest returns the input for choosing a target.
func (r *request) routeRequest(exclude []string) route.Request {
	return route.Request{
		Service:  r.service.Name,
		Prefix:   r.prefix,
		Priority: r.priority,
		Deadline: r.deadline,
		Exclude:  exclude,
	}
}
