// Package relay reaches the store by way of another host.
//
// It answers a store that turns some hosts away, or a partition between single
// hosts and the store, while it serves the others. A relayed call is the same
// call: conditions decide it, and an outcome that may have been lost on the way
// is reported as unknown.
package relay
