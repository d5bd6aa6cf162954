// Package gateway serves the callers' HTTP API.
//
// It authenticates a request, reserves its cost at the home of its budget,
// dispatches it to a target, relays the answer and settles what was used. A
// refusal carries a verdict that states whether the request may have run.
package gateway
