// Package peer carries calls between daemons as JSON-RPC 2 over TCP.
package peer

// Methods of the protocol between daemons.
const (
	methodReserve  = "authority.reserve"
	methodSettle   = "authority.settle"
	methodBundle   = "bundle.push"
	methodHello    = "peer.hello"
	methodAttempts = "peer.attempts"
)

// codeFailed is the JSON-RPC error code of a handler's own error, from the
// range that the specification leaves to servers.
const codeFailed = -32000
