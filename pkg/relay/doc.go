// Package relay sends calls to the store through another host when direct calls
// fail.
//
// Relaying helps when the store refuses the calls of some hosts, or when a network
// partition separates some hosts from the store, while other hosts can still call it.
// A relayed call is the same call as a direct one: its preconditions decide whether it
// is applied. If its answer may have been lost, its outcome is reported as unknown.
package relay
