// Package integration holds the tests of the guarantees P1 to P4. They run
// the fleet as real processes under faults and judge it by the journals of the
// targets and the records of the callers, not by what the fleet says of itself.
package integration
