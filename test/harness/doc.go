// Package harness runs the peppertrail programs as real processes on loopback
// for tests. It starts stand-ins for the platform and the targets, the daemons,
// and fault-injecting proxies between them. It also provides callers that record
// what they send and receive.
package harness
