// Package integration tests the eight guarantees of the fleet, one test for each.
// The tests run the fleet as real processes and inject faults. They compare the journals of the targets with
// the records of the callers and do not rely on what the fleet reports about itself.
//
// Each test logs its seed. SEED=n repeats the fault schedule and the random choices
// of the callers, but not the timing of the processes. A failure may therefore need
// several runs with its seed to appear again.
package integration
