package commit

import "sync"

// scanFactor bounds the number of queued ops that are examined for one batch, in
// multiples of the batch size. Ops that must wait for an earlier op on the same
// key are examined and stay in the queue.
const scanFactor = 4

// queue holds the submitted ops in order.
type queue struct {
	mu     sync.Mutex
	ops    []Op
	closed error // error for ops pushed after close; nil while the queue is open
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

// close removes and returns the queued ops. Later calls of push return err.
func (q *queue) close(err error) []Op {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.closed = err
	ops := q.ops
	q.ops = nil
	return ops
}

// take removes and returns up to limit ops with disjoint keys. An op that shares
// a key with an earlier one stays in the queue, so that both keep their order.
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
		if addKeys(touched, op) {
			kept = append(kept, op)
			continue
		}
		batch = append(batch, op)
	}
	q.ops = q.ops[scanned-len(kept):]
	copy(q.ops, kept)
	return batch
}

// addKeys adds the keys of op to touched and reports whether one of them was
// already in it.
func addKeys(touched map[string]bool, op Op) bool {
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
