package commit

import "sync"

// scanFactor bounds how far a batch looks past ops that must wait for an
// earlier op on the same key, in multiples of the batch size.
const scanFactor = 4

// queue holds the submitted ops in order.
type queue struct {
	mu     sync.Mutex
	ops    []Op
	closed error // what later ops get, nil while open
}

// push appends op, or returns the error with which the queue was closed.
func (q *queue) push(op Op) error {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.closed != nil {
		return q.closed
	}
	q.ops = append(q.ops, op)
	return nil
}

func (q *queue) len() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return len(q.ops)
}

// close refuses later ops with err and returns the waiting ones.
func (q *queue) close(err error) []Op {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.closed = err
	ops := q.ops
	q.ops = nil
	return ops
}

// take removes and returns up to limit ops that touch disjoint keys. An op that
// touches a key of an earlier one stays, so that both keep their order.
func (q *queue) take(limit int) []Op {
	q.mu.Lock()
	defer q.mu.Unlock()
	touched := map[string]bool{}
	var batch, kept []Op
	scanned := 0
	for _, op := range q.ops {
		if len(batch) == limit || scanned == scanFactor*limit {
			break
		}
		scanned++
		if touchAll(touched, op) {
			kept = append(kept, op)
			continue
		}
		batch = append(batch, op)
	}
	q.ops = q.ops[scanned-len(kept):]
	copy(q.ops, kept)
	return batch
}

// touchAll adds the keys of op and reports whether one was there before.
func touchAll(touched map[string]bool, op Op) bool {
	seen := false
	keys := op.keys()
	for _, key := range keys {
		seen = seen || touched[key]
	}
	for _, key := range keys {
		touched[key] = true
	}
	return seen
}
