package integration

import (
	"slices"
	"sync"

	"github.com/peppertrail/peppertrail/test/harness"
)

// book is what the callers of a test sent and received. It is safe for
// concurrent use.
type trafficLog struct {
	mu      sync.Mutex
	sent    map[string]harness.Request // by prompt digest, before the first sending
	answers []harness.Answer
}

func newTrafficLog() *trafficLog {
	return &trafficLog{sent: make(map[string]harness.Request)}
}

// sending records a request before it is sent.
func (log *trafficLog) recordRequest(r harness.Request) {
	log.mu.Lock()
	defer log.mu.Unlock()
	log.sent[r.Digest()] = r
}

// received records an answer.
func (log *trafficLog) recordAnswer(a harness.Answer) {
	log.mu.Lock()
	defer log.mu.Unlock()
	log.answers = append(log.answers, a)
}

// request returns the request with a prompt digest.
func (log *trafficLog) requestByDigest(digest string) (harness.Request, bool) {
	log.mu.Lock()
	defer log.mu.Unlock()
	r, ok := log.sent[digest]
	return r, ok
}

// all returns every answer so far.
func (log *trafficLog) allAnswers() []harness.Answer {
	log.mu.Lock()
	defer log.mu.Unlock()
	return slices.Clone(log.answers)
}

// tally counts the answers by their end, to show that a test had traffic.
func (log *trafficLog) countOutcomes() map[string]int {
	counts := make(map[string]int)
	for _, a := range log.allAnswers() {
		switch {
		case a.Complete:
			counts["complete"]++
		case a.Refused():
			counts["refused "+string(a.Verdict)+" "+string(a.Reason)]++
		default:
			counts["broken"]++
		}
	}
	return counts
}
