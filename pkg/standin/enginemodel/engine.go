// Package enginemodel is a discrete-event model of a model engine with continuous
// batching: it computes when the engine would produce the tokens of its requests,
// without running one. Prefill is done in chunks between the decoding steps of the
// running requests. Prompt parts stay in the prefix cache until they are evicted,
// least recently used first.
package enginemodel

import (
	"container/list"
	"time"
)

// Settings are the capacity and the speed of an engine.
type Settings struct {
	Slots                      int           // maximum number of requests in the batch
	CacheTokens                int64         // capacity of the prefix cache in prompt tokens
	StepTime                   time.Duration // duration of a decoding step, which generates one token for each running request
	PrefillTokensPerMs         float64       // prefill rate in prompt tokens per millisecond, without the attention cost
	AttentionMsPerMillionPairs float64       // attention cost of prefill in milliseconds per million pairs of a new and an earlier token
	PrefillChunkTokens         int64         // maximum number of prompt tokens prefilled between two decoding steps
	AdmissionDelay             time.Duration // delay from the arrival of a request until it may join the batch
}

// ReferenceSettings returns the settings of the reference engine according to its data
// sheet: 64 concurrent requests, a cache of 444,000 tokens, 2.2 ms per decoding step and a
// prefill rate of 140 prompt tokens per millisecond.
func ReferenceSettings() Settings {
	return Settings{
		Slots: 64, CacheTokens: 444_000, StepTime: 2200 * time.Microsecond, PrefillTokensPerMs: 140,
		AttentionMsPerMillionPairs: 0.295, PrefillChunkTokens: 1024, AdmissionDelay: 53 * time.Millisecond,
	}
}

// Part is a section of a prompt. Parts with the same ID share a cache entry.
type Part struct {
	ID     string
	Tokens int64
}

// Request is one request to the engine. Times are on the engine's clock, which
// starts at 0.
type Request struct {
	Parts        []Part // sections of the prompt in order; the last one is specific to this request
	OutputTokens int    // number of tokens to generate

	arrived      time.Duration
	prefilled    int64 // prompt tokens that were prefilled or found in the cache
	promptTokens int64
	generated    int

	FirstTokenAt       time.Duration // time at which the first token was generated; 0 before that
	FinishedAt         time.Duration // time at which the last token was generated; 0 before that
	CachedPromptTokens int64         // prompt tokens found in the cache when the request joined the batch
}

// Engine is the simulated engine. It is not safe for concurrent use.
type Engine struct {
	settings     Settings
	now          time.Duration
	arriving     []*Request // submitted requests until AdmissionDelay after their arrival, in order of arrival
	waiting      []*Request // requests that wait for a slot, in order of arrival
	running      []*Request
	cached       map[string]*list.Element // elements of lru by Part.ID
	lru          *list.List               // cached parts of type Part, most recently used first
	cachedTokens int64                    // number of tokens of the cached parts
}

// New returns an idle engine with an empty cache.
func New(s Settings) *Engine {
	return &Engine{settings: s, cached: make(map[string]*list.Element), lru: list.New()}
}

// Submit adds a request that arrives at time at, which must not be earlier than
// the engine's current time or the arrival of an earlier request.
func (e *Engine) Submit(at time.Duration, r *Request) {
	r.arrived = at
	for _, p := range r.Parts {
		r.promptTokens += p.Tokens
	}
	e.arriving = append(e.arriving, r)
}

// RequestCounts returns the number of requests in the batch and of those that have not
// joined it yet, including those within AdmissionDelay after their arrival.
func (e *Engine) RequestCounts() (running, waiting int) {
	return len(e.running), len(e.waiting) + len(e.arriving)
}

// Advance runs the engine until its clock reaches until.
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

// nextArrival returns the time at which an idle engine can admit the next request,
// at most until.
func (e *Engine) nextArrival(until time.Duration) time.Duration {
	if len(e.arriving) == 0 {
		return until
	}
	return max(e.now, min(until, e.arriving[0].arrived+e.settings.AdmissionDelay))
}

func (e *Engine) admit() {
	for len(e.arriving) > 0 && e.arriving[0].arrived+e.settings.AdmissionDelay <= e.now {
		e.waiting = append(e.waiting, e.arriving[0])
		e.arriving = e.arriving[1:]
	}
	for len(e.waiting) > 0 && len(e.running) < e.settings.Slots {
		r := e.waiting[0]
		e.waiting = e.waiting[1:]
		r.CachedPromptTokens = e.cachedPrefix(r.Parts)
		r.prefilled = min(r.CachedPromptTokens, r.promptTokens-1) // the last prompt token is always prefilled
		e.running = append(e.running, r)
	}
}

// step prefills one chunk of the oldest incomplete prompt and generates one token
// for every request whose prefill is complete.
func (e *Engine) step() {
	duration := e.settings.StepTime
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
			if r.FirstTokenAt == 0 {
				r.FirstTokenAt = e.now
				e.cacheParts(r.Parts)
			}
		}
		if r.generated >= max(1, r.OutputTokens) {
			r.FinishedAt = e.now
			continue
		}
		running = append(running, r)
	}
	clear(e.running[len(running):])
	e.running = running
}

func (e *Engine) prefillChunk(r *Request) time.Duration {
	tokens := min(e.settings.PrefillChunkTokens, r.promptTokens-r.prefilled)
	pairs := float64(tokens) * (float64(r.prefilled) + float64(tokens)/2)
	r.prefilled += tokens
	ms := float64(tokens)/e.settings.PrefillTokensPerMs + pairs/1e6*e.settings.AttentionMsPerMillionPairs
	return time.Duration(ms * float64(time.Millisecond))
}

// cachedPrefix returns the number of tokens in the leading parts that are cached.
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

// cacheParts adds parts to the cache and evicts the least recently used ones beyond
// its capacity.
func (e *Engine) cacheParts(parts []Part) {
	for _, p := range parts {
		if element, ok := e.cached[p.ID]; ok {
			e.lru.MoveToFront(element)
			continue
		}
		e.cached[p.ID] = e.lru.PushFront(p)
		e.cachedTokens += p.Tokens
	}
	for e.cachedTokens > e.settings.CacheTokens {
		oldest := e.lru.Back()
		p := e.lru.Remove(oldest).(Part)
		delete(e.cached, p.ID)
		e.cachedTokens -= p.Tokens
	}
}
