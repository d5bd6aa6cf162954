package target

import "time"

// ServiceInfo is the part of a service's configuration that applies to its
// targets.
type ServiceInfo struct {
	Kind      Kind
	Fenced    bool          // targets refuse requests with an outdated fencing number
	SlowStart time.Duration // time from the first report of a target until it receives full traffic
}
