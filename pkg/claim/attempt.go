package claim

// Attempt is one wish to dispatch a request.
type Attempt struct {
	Customer      string
	Request       string
	Fingerprint   string
	Daemon        string // incarnation of the entry daemon
	Target        string
	Number        int // 1 for the first dispatch by this entry daemon
	NonIdempotent bool
	LostStream    string // stream that its target no longer knows
}
