package route

import (
	"container/heap"
	"time"
)

// simClock runs scheduled events in the order of their time.
type simClock struct {
	now     time.Time
	events  simEvents
	lastSeq int
}

// simEvent is a function that runs at a time. Events at the same time run in
// the order of scheduling.
type simEvent struct {
	at  time.Time
	seq int
	run func()
}

// schedule runs a function after d.
func (c *simClock) schedule(d time.Duration, run func()) {
	c.lastSeq++
	heap.Push(&c.events, simEvent{at: c.now.Add(d), seq: c.lastSeq, run: run})
}

// runUntil runs all events before end.
func (c *simClock) runUntil(end time.Time) {
	for len(c.events) > 0 && c.events[0].at.Before(end) {
		e := heap.Pop(&c.events).(simEvent)
		c.now = e.at
		e.run()
	}
}

// simEvents is a heap of events that implements heap.Interface.
type simEvents []simEvent

func (e simEvents) Len() int { return len(e) }

func (e simEvents) Less(i, j int) bool {
	if e[i].at.Equal(e[j].at) {
		return e[i].seq < e[j].seq
	}
	return e[i].at.Before(e[j].at)
}

func (e simEvents) Swap(i, j int) { e[i], e[j] = e[j], e[i] }

func (e *simEvents) Push(x any) { *e = append(*e, x.(simEvent)) }

func (e *simEvents) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}
