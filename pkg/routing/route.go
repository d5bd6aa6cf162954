package routing

import "time"

// RouteKind is the kind of a route. It says whether its requests may be repeated.
type RouteKind string

// Kinds of routes.
const (
	Safe      RouteKind = "safe"      // may run more than once
	Unsafe    RouteKind = "unsafe"    // runs at most once
	Streaming RouteKind = "streaming" // event stream; runs at most once unless the route is resumable
)

// Route maps requests with one host name and path prefix to services.
type Route struct {
	Name          string
	Host          string // host name of the requests; not case-sensitive
	PathPrefix    string // begins and ends with a slash
	Kind          RouteKind
	Timeout       time.Duration // maximum duration of a request; 0: no limit
	LatencyTarget time.Duration // response time that the route aims for; not enforced
	GapTarget     time.Duration // longest time between two events of a stream that the route aims for; not enforced
	Priority      int           // 0 is the most urgent
	MaxAttempts   int           // maximum number of targets that may run one request; 0 counts as 1
	Anonymous     bool          // requests need no API key
	Affinity      bool          // requests have prompt parts that targets cache
	Resumable     bool          // another target may resume a stream
	Split         []Share       // services with weights; at least one
}

// Share is a service in a route's traffic split, with its weight.
type Share struct {
	Service string
	Weight  int
}

// Idempotent reports whether a request of the route may run more than once.
func (r *Route) Idempotent() bool {
	return r.Kind == Safe || (r.Kind == Streaming && r.Resumable)
}

// Service returns the service at a position in [0, 1) of the traffic split, in which
// each service has a range in proportion to its weight. Without weights it returns
// the first service.
func (r *Route) Service(position float64) string {
	total := 0
	for _, s := range r.Split {
		total += s.Weight
	}
	if total == 0 {
		return r.Split[0].Service
	}
	remainder := position * float64(total)
	for _, s := range r.Split {
		if remainder -= float64(s.Weight); remainder < 0 {
			return s.Service
		}
	}
	return r.Split[len(r.Split)-1].Service
}
