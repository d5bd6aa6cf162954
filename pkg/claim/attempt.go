package claim

// Attempt is one attempt of an entry daemon to dispatch a request.
type Attempt struct {
	Customer      string
	Request       string // request id
	Fingerprint   string // SHA-256 in hex of the customer, method, path and body
	Daemon        string // incarnation of the entry daemon
	Target        string // target id
	Number        int    // attempt number at this entry daemon, from 1
	NonIdempotent bool
	LostStream    string // id of an earlier stream of the request that its target no longer has, "" for none
}
