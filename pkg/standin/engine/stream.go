package engine

import "time"

// stream is one accepted request. Its fields after renderer are guarded by Engine.mu.
type stream struct {
	id       string
	prompt   Prompt
	priority int // 0 to maxPriority, which is the most urgent
	fencing  uint64
	arrival  uint64 // number of the stream in order of acceptance, from 1
	crash    bool   // the prompt contains the crash marker
	accepted time.Time
	renderer renderer

	outcome   Outcome
	heapIndex int       // position in the queue while queued
	firstStep int64     // decoding step that yields token 0
	started   time.Time // time at which the stream got a slot; zero before that
	ended     time.Time
	generated int             // completion tokens generated so far
	journaled int             // completion tokens in the last journal record
	readers   []chan struct{} // one channel per reader, which signals new events
}

// usage returns what the stream has consumed. A stream that never got a slot
// has consumed nothing.
func (s *stream) usage() Usage {
	if s.started.IsZero() {
		return Usage{}
	}
	return Usage{
		PromptTokens:     s.prompt.Tokens,
		CompletionTokens: s.generated,
		TotalTokens:      s.prompt.Tokens + s.generated,
	}
}

// crashTokens returns the number of generated tokens at which the crash marker takes
// effect. It is below Prompt.CompletionTokens, so that the process exits before the
// stream is complete.
func (s *stream) crashTokens() int {
	return min(maxCrashTokens, s.prompt.CompletionTokens-1)
}

// finishReason returns "length" if the stream ended at or beyond the output limit,
// otherwise "stop".
func (s *stream) finishReason() string {
	if s.prompt.MaxTokens > 0 && s.prompt.CompletionTokens >= s.prompt.MaxTokens {
		return "length"
	}
	return "stop"
}

// notify wakes the readers. A reader with a pending wake-up needs no second one.
func (s *stream) notify() {
	for _, r := range s.readers {
		select {
		case r <- struct{}{}:
		default:
		}
	}
}

// render appends the events from index from that are available. It returns the
// next index and whether the stream has no more events.
func (s *stream) render(buf []byte, from int) ([]byte, int, bool) {
	for ; from < s.generated; from++ {
		buf = s.renderer.appendToken(buf, from)
	}
	if s.outcome != Completed {
		return buf, from, s.outcome == Cancelled
	}
	if from == s.generated {
		buf = s.renderer.appendUsage(buf, from, s.finishReason(), s.usage())
		from++
	}
	return appendDone(buf, from), from + 1, true
}
