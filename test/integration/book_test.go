package integration

import (
	"slices"
	"sync"

	"github.com/peppertrail/peppertrail/test/harness"
)

// book is what the callers of a test sent and received. It is safe for
// concurrent use.
type book struct {
	mu      sync.Mutex
	sent    map[string]harness.Request // by prompt digest, before the first sending
	answers []harness.Answer
}

func newBook() *book {
	return &book{sent: make(map[string]harness.Request)}
}

// sending records a request before it is sent.
func (b *book) sending(r harness.Request) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.sent[r.Digest()] = r
}

// received records an answer.
func (b *book) received(a harness.Answer) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.answers = append(b.answers, a)
}

// request returns the request with a prompt digest.
func (b *book) request(digest string) (harness.Request, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	r, ok := b.sent[digest]
	return r, ok
}

// all returns every answer so far.
func (b *book) all() []harness.Answer {
	b.mu.Lock()
	defer b.mu.Unlock()
	return slices.Clone(b.answers)
}

// tally counts the answers by their end, to show that a test had traffic.
func (b *book) tally() map[string]int {
	counts := make(map[string]int)
	for _, a := range b.all() {
		switch {
		case a.Whole:
			counts["whole"]++
		case a.Refused():
			counts["refused "+string(a.Verdict)+" "+string(a.Reason)]++
		default:
			counts["broken"]++
		}
	}
	return counts
}
