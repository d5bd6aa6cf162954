// Package relay sends calls to the store through another host when direct calls
// fail.
//
// It covers a store that refuses calls of single hosts, and a network partition
// between single hosts and the store, while other hosts can reach it. A relayed
// call is the same call as a direct one: its preconditions decide whether it is
// applied. If its answer may have been lost, its outcome is reported as unknown.
package relay
