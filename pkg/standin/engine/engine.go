// Package engine is a stand-in for a model engine with continuous batching: it
// serves chat completions with deterministic text as server-sent events.
package engine

import (
	"container/heap"
	"fmt"
	"os"
	"strings"
	"sync"
	"time"

	"github.com/phuslu/log"

	"github.com/peppertrail/peppertrail/pkg/standin/journal"
)

// Engine is a running stand-in. One goroutine generates tokens. It shares the fields
// below mu with the HTTP handlers; mu guards them.
type Engine struct {
	options Options
	file    *journal.File
	log     log.Logger
	epoch   time.Time     // start of decoding step 0
	wake    chan struct{} // wakes the generator after a stream was submitted or cancelled
	stop    chan struct{}
	stopped chan struct{}

	mu       sync.Mutex
	idle     *sync.Cond // signalled when a stream ends
	arrivals uint64     // number of accepted streams
	fencing  uint64     // highest fencing number seen
	draining bool
	crashing bool // a stream has reached the crash marker; the process exits after crashDelay
	queue    queue
	running  []*stream
	kvTokens int                // tokens held by running streams
	streams  map[string]*stream // streams that can be resumed
	ended    []*stream          // ended streams that are still in streams, oldest first
	history  []*stream          // every accepted stream, for the journal
	usedIDs  map[string]bool    // ids of all streams accepted since the start
	cache    *cache
	cacheLog *cacheLog
	reports  reportLog
}

// New starts an engine. Close stops it.
func New(o Options) (*Engine, error) {
	if err := o.validate(); err != nil {
		return nil, err
	}
	file, err := journal.Open(o.Journal)
	if err != nil {
		return nil, err
	}
	if o.Exit == nil {
		o.Exit = os.Exit
	}
	events := &cacheLog{lag: o.CacheLag, gap: o.CacheGap, now: time.Now}
	e := &Engine{
		options: o,
		file:    file,
		log:     log.Logger{Level: log.InfoLevel, Writer: &log.IOWriter{Writer: os.Stderr}},
		epoch:   time.Now(),
		wake:    make(chan struct{}, 1),
		stop:    make(chan struct{}),
		stopped: make(chan struct{}),
		streams: make(map[string]*stream),
		usedIDs: make(map[string]bool),
		cache:   newCache(o.CacheBlocks, events), cacheLog: events,
		reports: reportLog{lag: o.ReportLag},
	}
	e.idle = sync.NewCond(&e.mu)
	e.reports.add(e.epoch, e.report(e.epoch))
	go e.generate()
	return e, nil
}

// Close stops the generator and closes the journal. Running streams generate no
// further tokens.
func (e *Engine) Close() error {
	close(e.stop)
	<-e.stopped
	return e.file.Close()
}

// Drain refuses new streams from now on.
func (e *Engine) Drain() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.draining = true
	e.recordReport(time.Now())
}

// Wait returns once no stream is queued or running.
func (e *Engine) Wait() {
	e.mu.Lock()
	defer e.mu.Unlock()
	for len(e.queue)+len(e.running) > 0 {
		e.idle.Wait()
	}
}

// submit accepts a stream or returns a *refusal.
func (e *Engine) submit(id string, p Prompt, priority int, fencing uint64) (*stream, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	if err := e.checkAdmission(id, fencing, now); err != nil {
		return nil, err
	}
	e.arrivals++
	s := &stream{
		id: id, prompt: p, priority: priority, fencing: fencing, arrival: e.arrivals,
		crash:    e.options.CrashMarker != "" && strings.Contains(p.Text, e.options.CrashMarker),
		accepted: now, renderer: newRenderer(id, p), outcome: Queued,
	}
	e.usedIDs[id] = true
	e.streams[id] = s
	e.history = append(e.history, s)
	heap.Push(&e.queue, s)
	e.admit(now)
	e.recordReport(now)
	e.wakeGenerator()
	return s, nil
}

// checkAdmission decides whether the engine accepts a new stream and records its
// fencing number. A repeated id is checked first, because the other refusals mean
// that the stream did not run.
func (e *Engine) checkAdmission(id string, fencing uint64, now time.Time) error {
	if e.usedIDs[id] {
		return errStreamExists
	}
	if e.options.CheckFencing && fencing < e.fencing {
		return errStaleFencing
	}
	e.fencing = max(e.fencing, fencing)
	switch {
	case e.draining:
		return errDraining
	case e.loading(now):
		return errLoading
	case e.options.MaxQueue > 0 && len(e.queue) >= e.options.MaxQueue && len(e.running) >= e.options.Slots:
		return errQueueFull
	}
	return nil
}

// loading reports whether the engine is still loading its model.
func (e *Engine) loading(now time.Time) bool {
	return now.Sub(e.epoch) < e.options.LoadTime
}

// find returns a stream that can be resumed, or nil.
func (e *Engine) find(id string) *stream {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.expire(time.Now())
	return e.streams[id]
}

// expire removes the streams that ended more than Options.Retention ago.
func (e *Engine) expire(now time.Time) {
	for len(e.ended) > 0 && now.Sub(e.ended[0].ended) > e.options.Retention {
		delete(e.streams, e.ended[0].id)
		e.ended = e.ended[1:]
	}
}

// cancel ends a stream that has not ended yet, and returns its usage.
func (e *Engine) cancel(s *stream) Usage {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	e.advanceStreams(e.step(now), now)
	switch s.outcome {
	case Queued:
		heap.Remove(&e.queue, s.heapIndex)
		e.end(s, Cancelled, now)
	case Running:
		e.release(s)
		e.end(s, Cancelled, now)
	}
	e.admit(now)
	e.recordReport(now)
	e.wakeGenerator()
	return s.usage()
}

// recordReport adds the report of the current state to the report log.
func (e *Engine) recordReport(now time.Time) {
	e.reports.add(now, e.report(now))
}

// report returns the report of the current state.
func (e *Engine) report(now time.Time) Report {
	r := Report{
		State:      Serving,
		SlotsTotal: e.options.Slots,
		SlotsBusy:  len(e.running),
		QueueDepth: len(e.queue),
		KVUsed:     min(1, float64(e.kvTokens)/float64(e.options.CacheBlocks*BlockTokens)),
		Fencing:    e.fencing,
	}
	if e.loading(now) {
		r.State = Loading
	}
	if e.draining {
		r.State = Draining
	}
	return r
}

// delayedReport returns the report of the state Options.ReportLag ago.
func (e *Engine) delayedReport() Report {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	e.recordReport(now)
	return e.reports.delayed(now)
}

// journalStream appends the record of a stream to the journal file.
func (e *Engine) journalStream(s *stream) {
	s.journaled = s.generated
	if err := e.file.Append(s.record()); err != nil {
		e.log.Error().Err(err).Msg(fmt.Sprintf("engine: cannot write to the journal; the record of stream %s is lost", s.id))
	}
}

// wakeGenerator wakes the generator.
func (e *Engine) wakeGenerator() {
	select {
	case e.wake <- struct{}{}:
	default:
	}
}
