// Package upstream is an HTTP/1.1 client for targets. It sends one request at a
// time on each pooled connection and streams the response.
//
// net/http's Transport is not used: it returns whichever response comes next on a
// connection, has no connection limit that depends on the target, and retries
// some requests by itself. This client checks the request id that a target
// echoes, discards responses to earlier requests, and reports for each failure
// whether the request may have reached the target.
package upstream
