// Package harness runs the programs of peppertrail as real processes on
// loopback for tests: stand-ins, daemons, fault-injecting proxies between
// them, and callers that record what they sent and received.
package harness
