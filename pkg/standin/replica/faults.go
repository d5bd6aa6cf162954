package replica

import "time"

// Faults are the failures that a replica injects. The zero value injects none.
type Faults struct {
	RejectAll        bool          // rejects every request with status 503 without running it
	Status           int           // status of every response; 0: 200
	Delay            time.Duration // delay before the first byte of a response
	NeverResponds    bool          // accepts requests and never responds
	AbortAfterEvents int           // closes the connection of a stream after the event with this id; 0: never
	AbortMidEvent    bool          // with AbortAfterEvents: sends a partial event before closing the connection
	AbortRegularly   bool          // with AbortAfterEvents: ends the body like a complete one instead of breaking it off
	AbortDelay       time.Duration // with AbortAfterEvents: time without data before the connection is closed
	FrameByClose     bool          // sends streams with neither a length nor chunks; the end of the connection ends them
	LoseResponse     bool          // runs requests and closes the connection without a response
	Leaving          string        // value of the header that says that the replica leaves; empty: no header
	RateLimit        string        // value of the header that names the requests per second that the replica takes; empty: no header
	EventPause       time.Duration // time before each event of a stream
	CrashPart        string        // id of a prompt part: the replica crashes for good when it begins the response to a request with that part
	CrashPath        string        // path of requests, without a query: the replica crashes when it begins to run one of them
	RetryAfter       string        // with RejectAll: value of the Retry-After header; empty: no header
}
