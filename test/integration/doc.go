// Package integration holds the tests of the guarantees P1 to P8. They run
// the fleet as real processes under faults and judge it by the journals of the
// targets and the records of the callers, not by what the fleet says of itself.
//
// Each test logs its seed. SEED=n repeats the schedule of the faults and the
// choices of the callers, but not the timing of the processes, so that a fault
// may need several runs of its seed to appear again.
package integration
