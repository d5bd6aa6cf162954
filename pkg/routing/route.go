package routing

import "time"

// Repeatable says what may be done again with a request of a route.
type Repeatable string

// Kinds of routes.
const (
	Safe      Repeatable = "safe"      // may run more than once
	Unsafe    Repeatable = "unsafe"    // runs at most once
	Streaming Repeatable = "streaming" // an event stream; runs at most once unless it can be resumed
)

// Route leads requests of one host name and path prefix to services.
type Route struct {
	Name          string
	Host          string
	PathPrefix    string // begins and ends with a slash
	Kind          Repeatable
	Timeout       time.Duration // longest time that a caller is kept waiting; 0: no bound
	LatencyTarget time.Duration // answers within it are on time
	GapTarget     time.Duration // longest pause between events of an answer on time
	Priority      int           // 0 is the most urgent
	MaxAttempts   int           // targets that one request may be sent to
	Anonymous     bool          // needs no API key
	Affinity      bool          // requests carry prompt parts that targets cache
	Resumable     bool          // a stream may go on at another target
	Split         []Share       // services with weights; at least one
}

// Share is the weight of a service in a route.
type Share struct {
	Service string
	Weight  int
}

// Idempotent reports whether a request of the route may run more than once.
func (r *Route) Idempotent() bool {
	return r.Kind == Safe || (r.Kind == Streaming && r.Resumable)
}

// Service returns the service for a number in [0, 1), by the weights.
func (r *Route) Service(at float64) string {
	total := 0
	for _, s := range r.Split {
		total += s.Weight
	}
	if total == 0 {
		return r.Split[0].Service
	}
	rest := at * float64(total)
	for _, s := range r.Split {
		if rest -= float64(s.Weight); rest < 0 {
			return s.Service
		}
	}
	return r.Split[len(r.Split)-1].Service
}
