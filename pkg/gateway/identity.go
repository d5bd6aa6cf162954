package gateway

// Identity provides the registration of this daemon. The values change when the daemon
// registers again after it was fenced.
type Identity interface {
	// Incarnation returns the id of the daemon's current incarnation.
	Incarnation() string
	// Fencing returns the fencing number, which targets compare with the fencing
	// numbers of earlier commands.
	Fencing() uint64
}
