package telemetry

import (
	"slices"
	"sync"
)

// maxStepsPerRequest limits the steps kept per request. Three attempts with resumes
// take about 20 steps; requests repeated with the same idempotency key share one
// record.
const maxStepsPerRequest = 64

// Journal keeps the decisions about recent requests in memory, so that operators can
// see why a request had its result. It is safe for concurrent use.
type Journal struct {
	mu      sync.Mutex
	ring    []requestKey // keys of records, as a ring buffer in order of insertion
	next    int          // index in ring of the oldest key, which is replaced next
	records map[requestKey]*record
}

type requestKey struct{ customer, request string }

// record holds the latest steps of one request.
type record struct {
	steps   []Step
	dropped int // number of older steps that were removed
}

// NewJournal returns a journal of the last capacity requests. A capacity below 1 is
// raised to 1.
func NewJournal(capacity int) *Journal {
	capacity = max(capacity, 1)
	return &Journal{
		ring:    make([]requestKey, capacity),
		records: make(map[requestKey]*record, capacity),
	}
}

// Add appends a step to a request. If the journal is full, a new request replaces
// the oldest one. If the request has maxStepsPerRequest steps, the step replaces
// its oldest one.
func (j *Journal) Add(customer, request string, step Step) {
	key := requestKey{customer, request}
	j.mu.Lock()
	defer j.mu.Unlock()
	r, ok := j.records[key]
	if !ok {
		r = j.insert(key)
	}
	if len(r.steps) == maxStepsPerRequest {
		r.steps = slices.Delete(r.steps, 0, 1)
		r.dropped++
	}
	r.steps = append(r.steps, step)
}

// insert replaces the oldest record by an empty record of key.
func (j *Journal) insert(key requestKey) *record {
	delete(j.records, j.ring[j.next])
	j.ring[j.next] = key
	j.next = (j.next + 1) % len(j.ring)
	r := &record{}
	j.records[key] = r
	return r
}

// Explain returns the steps of a request in order and the number of older
// steps that were removed. The list is empty for an unknown request.
func (j *Journal) Explain(customer, request string) (steps []Step, dropped int) {
	j.mu.Lock()
	defer j.mu.Unlock()
	r, ok := j.records[requestKey{customer, request}]
	if !ok {
		return nil, 0
	}
	return slices.Clone(r.steps), r.dropped
}
