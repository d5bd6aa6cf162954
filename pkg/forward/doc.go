// Package forward takes requests from callers and passes them on unchanged to
// targets: method, path, query and body as they came, status and body as the
// target gave them.
//
// A request that may run only once is sent to a second target only if it is
// proved that it has not run. A refusal with status 503, 429, 408 or 421 says
// that the request has not run; what may have run ends with 502 or 504, or with
// a broken connection once a part of the answer is out.
package forward
