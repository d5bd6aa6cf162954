package gateway

// outboxHeap is a min-heap of entries by the time of their next submission. It
// implements heap.Interface.
type outboxHeap []*outboxEntry

func (h outboxHeap) Len() int           { return len(h) }
func (h outboxHeap) Less(i, j int) bool { return h[i].nextSubmission.Before(h[j].nextSubmission) }

func (h outboxHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index = i
	h[j].index = j
}

// Push implements heap.Interface.
func (h *outboxHeap) Push(v any) {
	e := v.(*outboxEntry)
	e.index = len(*h)
	*h = append(*h, e)
}

// Pop implements heap.Interface.
func (h *outboxHeap) Pop() any {
	last := len(*h) - 1
	e := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	e.index = -1
	return e
}
