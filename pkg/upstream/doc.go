// Package upstream sends one HTTP/1.1 request at a time over pooled connections
// to targets and returns the answer as it arrives.
//
// net/http's Transport is not used: it returns whatever answer comes next on a
// connection, opens connections without a bound that depends on the target, and
// repeats some requests by itself. This client checks the id that a target
// echoes, discards answers to earlier requests, and says for each failure
// whether the request may have reached the target.
package upstream
