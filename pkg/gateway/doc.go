// Package gateway serves the callers' HTTP API.
//
// It authenticates a request, reserves its maximum cost at the home of its budget,
// dispatches it to a target, relays the response and settles the tokens that were used.
// A refusal contains a verdict that states whether the request may have run.
package gateway
