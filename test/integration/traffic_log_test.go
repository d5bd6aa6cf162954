package integration

import (
	"slices"
	"sync"

	"github.com/peppertrail/peppertrail/test/harness"
)

// trafficLog records the requests and answers of all callers of a test. It is safe
// for concurrent use.
type trafficLog struct {
	mu      sync.Mutex
	sent    map[string]harness.Request // by prompt digest; recorded before the first send attempt
	answers []harness.Answer
}

func newTrafficLog() *trafficLog {
	return &trafficLog{sent: make(map[string]harness.Request)}
}

// recordRequest records a request. Call it before the request is sent, since an
// engine may run the request from then on.
func (log *trafficLog) recordRequest(r harness.Request) {
	log.mu.Lock()
	defer log.mu.Unlock()
	log.sent[r.Digest()] = r
}

// recordAnswer records an answer.
func (log *trafficLog) recordAnswer(a harness.Answer) {
	log.mu.Lock()
	defer log.mu.Unlock()
	log.answers = append(log.answers, a)
}

// requestByDigest returns the request with a prompt digest.
func (log *trafficLog) requestByDigest(digest string) (harness.Request, bool) {
	log.mu.Lock()
	defer log.mu.Unlock()
	r, ok := log.sent[digest]
	return r, ok
}

// allAnswers returns the answers recorded so far.
func (log *trafficLog) allAnswers() []harness.Answer {
	log.mu.Lock()
	defer log.mu.Unlock()
	return slices.Clone(log.answers)
}

// countOutcomes counts the answers by outcome, so that a test can show that it had
// traffic.
func (log *trafficLog) countOutcomes() map[string]int {
	counts := make(map[string]int)
	for _, a := range log.allAnswers() {
		switch {
		case a.Complete:
			counts["complete"]++
		case a.Refused():
			counts["refused "+string(a.Verdict)+" "+string(a.Reason)]++
		default:
			counts["incomplete without a refusal"]++
		}
	}
	return counts
}
