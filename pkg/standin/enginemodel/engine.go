// Package enginemodel computes when a model engine with continuous batching would
// produce the tokens of its requests, without running anything. Prompts are read
// in chunks between the steps of the running requests; parts of prompts stay in
// memory until newer ones need the room.
package enginemodel

import (
	"container/list"
	"time"
)

// Settings describe an engine. Times are of one engine without other load.
type Settings struct {
	Slots         int           // requests that run at once
	MemoryTokens  int64         // for cached parts and running requests
	Step          time.Duration // one token for each running request
	PrefillPerMs  float64       // prompt tokens read in a millisecond
	PairsMsPerM   float64       // milliseconds for a million pairs of a new and an earlier token
	ChunkTokens   int64         // read between two steps
	FirstOverhead time.Duration // from the arrival to the first chunk
}

// Kitchen returns the engine of the users' sheet: 64 requests at once, 444,000
// tokens, 2.2 ms a step, 140 prompt tokens in a millisecond.
func Kitchen() Settings {
	return Settings{
		Slots: 64, MemoryTokens: 444_000, Step: 2200 * time.Microsecond, PrefillPerMs: 140,
		PairsMsPerM: 0.295, ChunkTokens: 1024, FirstOverhead: 53 * time.Millisecond,
	}
}

// Part is a part of a prompt.
type Part struct {
	ID     string
	Tokens int64
}

// Request is one request at the engine.
type Request struct {
	Parts  []Part // the last one is the request's own
	Output int    // tokens

	arrived      time.Duration
	prefilled    int64 // prompt tokens that are read or were found in memory
	promptTokens int64
	generated    int

	First    time.Duration // when the first token was there; 0: not yet
	Finished time.Duration // 0: not yet
	Cached   int64         // prompt tokens found in memory
}

// Engine is one engine. It is not safe for concurrent use.
type Engine struct {
	settings     Settings
	now          time.Duration
	arriving     []*Request // in the order of their arrival
	waiting      []*Request
	running      []*Request
	cached       map[string]*list.Element
	lru          *list.List // of Part; the one used last is in front
	cachedTokens int64      // tokens of the parts in memory
}

// New returns an idle engine with empty memory.
func New(s Settings) *Engine {
	return &Engine{settings: s, cached: make(map[string]*list.Element), lru: list.New()}
}

// Submit adds a request that arrives at a time that is not before the engine's.
func (e *Engine) Submit(at time.Duration, r *Request) {
	r.arrived = at
	for _, p := range r.Parts {
		r.promptTokens += p.Tokens
	}
	e.arriving = append(e.arriving, r)
}

// Running returns the requests in the batch and those that wait for a place.
func (e *Engine) Running() (running, waiting int) {
	return len(e.running), len(e.waiting) + len(e.arriving)
}

// Advance runs the engine until a time.
func (e *Engine) Advance(until time.Duration) {
	for e.now < until {
		e.admit()
		if len(e.running) == 0 {
			e.now = e.nextArrival(until)
			continue
		}
		e.step()
	}
}

// nextArrival returns the time at which an idle engine has work again.
func (e *Engine) nextArrival(until time.Duration) time.Duration {
	if len(e.arriving) == 0 {
		return until
	}
	return max(e.now, min(until, e.arriving[0].arrived+e.settings.FirstOverhead))
}

func (e *Engine) admit() {
	for len(e.arriving) > 0 && e.arriving[0].arrived+e.settings.FirstOverhead <= e.now {
		e.waiting = append(e.waiting, e.arriving[0])
		e.arriving = e.arriving[1:]
	}
	for len(e.waiting) > 0 && len(e.running) < e.settings.Slots {
		r := e.waiting[0]
		e.waiting = e.waiting[1:]
		r.Cached = e.cachedPrefix(r.Parts)
		r.prefilled = min(r.Cached, r.promptTokens-1) // at least one token is read
		e.running = append(e.running, r)
	}
}

// step reads one chunk of the oldest unread prompt and generates one token for
// every request whose prompt is read.
func (e *Engine) step() {
	duration := e.settings.Step
	for _, r := range e.running {
		if r.prefilled < r.promptTokens {
			duration += e.prefillChunk(r)
			break
		}
	}
	e.now += duration
	running := e.running[:0]
	for _, r := range e.running {
		if r.prefilled >= r.promptTokens {
			r.generated++
			if r.First == 0 {
				r.First = e.now
				e.cacheParts(r.Parts)
			}
		}
		if r.generated >= max(1, r.Output) {
			r.Finished = e.now
			continue
		}
		running = append(running, r)
	}
	clear(e.running[len(running):])
	e.running = running
}

func (e *Engine) prefillChunk(r *Request) time.Duration {
	tokens := min(e.settings.ChunkTokens, r.promptTokens-r.prefilled)
	pairs := float64(tokens) * (float64(r.prefilled) + float64(tokens)/2)
	r.prefilled += tokens
	ms := float64(tokens)/e.settings.PrefillPerMs + pairs/1e6*e.settings.PairsMsPerM
	return time.Duration(ms * float64(time.Millisecond))
}

// cachedPrefix returns the tokens of the leading parts that are in memory.
func (e *Engine) cachedPrefix(parts []Part) int64 {
	found := int64(0)
	for _, p := range parts {
		element, ok := e.cached[p.ID]
		if !ok {
			break
		}
		e.lru.MoveToFront(element)
		found += p.Tokens
	}
	return found
}

// cacheParts puts parts into memory; those used least recently give way.
func (e *Engine) cacheParts(parts []Part) {
	for _, p := range parts {
		if element, ok := e.cached[p.ID]; ok {
			e.lru.MoveToFront(element)
			continue
		}
		e.cached[p.ID] = e.lru.PushFront(p)
		e.cachedTokens += p.Tokens
	}
	for e.cachedTokens > e.settings.MemoryTokens {
		oldest := e.lru.Back()
		p := e.lru.Remove(oldest).(Part)
		delete(e.cached, p.ID)
		e.cachedTokens -= p.Tokens
	}
}
