package telemetry

import (
	"slices"
	"sync"
)

// maxSteps bounds the steps kept per request. Three attempts with resumes take
// about 20; further requests under the same key share the record.
const maxSteps = 64

// Journal keeps the decisions about recent requests in memory, so that an
// operator can read why a request was answered as it was. It is safe for
// concurrent use.
type Journal struct {
	mu      sync.Mutex
	ring    []requestKey
	next    int
	records map[requestKey]*record
}

type requestKey struct{ customer, request string }

// record is the list of steps of one request.
type record struct {
	steps   []Step
	dropped int
}

// NewJournal returns a journal of the last capacity requests. Capacity is at least 1.
func NewJournal(capacity int) *Journal {
	capacity = max(capacity, 1)
	return &Journal{
		ring:    make([]requestKey, capacity),
		records: make(map[requestKey]*record, capacity),
	}
}

// Add appends a step to a request. The oldest request makes room for a new
// one; the oldest step of a request makes room for its maxSteps+1st.
func (j *Journal) Add(customer, request string, step Step) {
	key := requestKey{customer, request}
	j.mu.Lock()
	defer j.mu.Unlock()
	r, ok := j.records[key]
	if !ok {
		r = j.insert(key)
	}
	if len(r.steps) == maxSteps {
		r.steps = slices.Delete(r.steps, 0, 1)
		r.dropped++
	}
	r.steps = append(r.steps, step)
}

// insert replaces the oldest record by an empty one.
func (j *Journal) insert(key requestKey) *record {
	delete(j.records, j.ring[j.next])
	j.ring[j.next] = key
	j.next = (j.next + 1) % len(j.ring)
	r := &record{}
	j.records[key] = r
	return r
}

// Explain returns the steps of a request in order and the number of older
// steps that were dropped. The list is empty for an unknown request.
func (j *Journal) Explain(customer, request string) (steps []Step, dropped int) {
	j.mu.Lock()
	defer j.mu.Unlock()
	r, ok := j.records[requestKey{customer, request}]
	if !ok {
		return nil, 0
	}
	return slices.Clone(r.steps), r.dropped
}
