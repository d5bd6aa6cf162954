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

// codeHandlerError is the JSON-RPC error code for an error returned by a handler,
// from the range that the specification reserves for servers.
const codeHandlerError = -32000
