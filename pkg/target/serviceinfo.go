package target

import "time"

// ServiceInfo is the part of a service's configuration that its targets depend on.
type ServiceInfo struct {
	Kind      Kind
	Fenced    bool          // targets refuse old fencing numbers
	SlowStart time.Duration // time from the first report until a target takes its full share
}
