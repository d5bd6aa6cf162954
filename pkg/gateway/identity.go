package gateway

// Identity names this daemon. The values change when a fenced daemon registers anew.
type Identity interface {
	// Incarnation returns the id of this run of the daemon.
	Incarnation() string
	// Fencing returns the number that targets compare with those of earlier commands.
	Fencing() uint64
}
