package callermem

// Cause is why memory was refused or taken back. It is a label of the metrics.
type Cause string

// Causes.
const (
	Full            Cause = "full"       // the cap is reached
	ConnectionShare Cause = "connection" // the connection is above its share
	AddressShare    Cause = "address"    // the client address is above its share
	CustomerShare   Cause = "customer"   // the customer is above its share
	SlowBody        Cause = "slow_body"  // an incomplete body made no progress while memory was scarce
)

// Causes returns every cause, so that a counter can be registered for each.
func Causes() []Cause {
	return []Cause{Full, ConnectionShare, AddressShare, CustomerShare, SlowBody}
}

// Error means that memory was refused.
type Error struct{ Cause Cause }

// Error implements error.
func (e *Error) Error() string { return "memory for callers is used up: " + string(e.Cause) }
