package enginemodel

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func newRequest(id string, tokens int64, output int) *Request {
	return &Request{Parts: []Part{{ID: id, Tokens: tokens}}, OutputTokens: output}
}

func assertWithin(t *testing.T, got, want, tolerance time.Duration) {
	t.Helper()
	assert.Assert(t, got >= want-tolerance && got <= want+tolerance, "got %v, want %v", got, want)
}

// Guards against timings that differ from the data sheet of the reference engine: 140
// prompt tokens per millisecond, 0.295 ms per million token pairs and 2.2 ms per
// decoding step.
func TestTimingOfSingleRequest(t *testing.T) {
	e := New(ReferenceSettings())
	small, long := newRequest("a", 1400, 100), newRequest("b", 20_000, 1)
	e.Submit(0, small)
	e.Advance(2 * time.Second)
	assertWithin(t, small.FirstTokenAt, 53*time.Millisecond+10*time.Millisecond, 10*time.Millisecond)
	assertWithin(t, small.FinishedAt-small.FirstTokenAt, 99*2200*time.Microsecond, time.Millisecond)
	e.Submit(2*time.Second, long)
	e.Advance(4 * time.Second)
	attentionMs := 20_000.0 * 20_000 / 2 / 1e6 * 0.295
	// Milliseconds of admission delay, prefill, attention, and one decoding step for each
	// of the 20 prefill chunks.
	want := 53 + 20_000/140.0 + attentionMs + 20*2.2
	assertWithin(t, long.FirstTokenAt-2*time.Second, time.Duration(want*float64(time.Millisecond)), 10*time.Millisecond)
}

// Guards against repeated prefill of cached parts and against a cache that grows
// beyond its capacity.
func TestPromptPartsAreCachedUntilEvicted(t *testing.T) {
	e := New(ReferenceSettings())
	shared := Part{ID: "menu", Tokens: 5000}
	submit := func(at time.Duration, own string, tokens int64) *Request {
		r := &Request{Parts: []Part{shared, {ID: own, Tokens: tokens}}, OutputTokens: 1}
		e.Submit(at, r)
		e.Advance(at + time.Second)
		return r
	}
	assert.Equal(t, submit(0, "r1", 1000).CachedPromptTokens, int64(0))
	assert.Equal(t, submit(time.Second, "r2", 1000).CachedPromptTokens, int64(5000))
	for i := range 30 {
		big := newRequest(fmt.Sprint("big", i), 16_000, 1)
		e.Submit(time.Duration(3+i)*time.Second, big)
		e.Advance(time.Duration(4+i) * time.Second)
	}
	assert.Assert(t, e.cachedTokens <= ReferenceSettings().CacheTokens)
	assert.Equal(t, submit(40*time.Second, "r3", 1000).CachedPromptTokens, int64(0))
}

// Guards against a batch with more requests than slots and against a long prompt
// whose prefill does not delay the other requests.
func TestBatchIsBoundedAndLongPromptsDelayOthers(t *testing.T) {
	e := New(ReferenceSettings())
	for i := range 80 {
		e.Submit(0, newRequest(fmt.Sprint(i), 100, 50))
	}
	e.Advance(60 * time.Millisecond)
	running, waiting := e.RequestCounts()
	assert.Equal(t, running, 64)
	assert.Equal(t, waiting, 16)

	idle, prefilling := New(ReferenceSettings()), New(ReferenceSettings())
	prefilling.Submit(0, newRequest("long", 50_000, 1))
	firstTokenAt := func(e *Engine) time.Duration {
		r := newRequest("short", 800, 1)
		e.Submit(10*time.Millisecond, r)
		e.Advance(5 * time.Second)
		return r.FirstTokenAt
	}
	assert.Assert(t, firstTokenAt(prefilling) > firstTokenAt(idle)+500*time.Millisecond)
}
