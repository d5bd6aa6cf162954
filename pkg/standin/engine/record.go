package engine

import "time"

// Record is one line of the journal. The journal file holds several records per
// stream, of which the last one is current.
type Record struct {
	Stream           string     `json:"stream"`
	Digest           string     `json:"digest"` // prompt digest, which is also the first token of the response
	Priority         int        `json:"priority"`
	Fencing          uint64     `json:"fencing"`
	PromptTokens     int        `json:"prompt_tokens"`
	CompletionTokens int        `json:"completion_tokens"` // number of tokens generated so far
	Accepted         time.Time  `json:"accepted"`
	Started          *time.Time `json:"started,omitempty"` // absent if the stream has not run
	Ended            *time.Time `json:"ended,omitempty"`
	Outcome          Outcome    `json:"outcome"`
}

// record returns the journal record of the stream's current state.
func (s *stream) record() Record {
	return Record{
		Stream:           s.id,
		Digest:           s.prompt.Digest,
		Priority:         s.priority,
		Fencing:          s.fencing,
		PromptTokens:     s.prompt.Tokens,
		CompletionTokens: s.generated,
		Accepted:         s.accepted,
		Started:          timeOrNil(s.started),
		Ended:            timeOrNil(s.ended),
		Outcome:          s.outcome,
	}
}

// timeOrNil returns nil for the zero time.
func timeOrNil(t time.Time) *time.Time {
	if t.IsZero() {
		return nil
	}
	return &t
}
