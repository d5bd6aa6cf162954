package gateway

import (
	"encoding/json"

	"github.com/peppertrail/peppertrail/pkg/engine"
)

// chunk is one event of a streamed completion in the OpenAI format.
type chunk struct {
	ID      string        `json:"id"`
	Object  string        `json:"object"`
	Created int64         `json:"created"` // Unix time, seconds
	Model   string        `json:"model"`
	Choices []chunkChoice `json:"choices"`
	Usage   *engine.Usage `json:"usage,omitempty"`
}

type chunkChoice struct {
	Index        int        `json:"index"`
	Delta        chunkDelta `json:"delta"`
	FinishReason *string    `json:"finish_reason"`
}

type chunkDelta struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content,omitempty"`
}

// completion is a complete, unstreamed response in the OpenAI format.
type completion struct {
	ID      string             `json:"id"`
	Object  string             `json:"object"`
	Created int64              `json:"created"` // Unix time, seconds
	Model   string             `json:"model"`
	Choices []completionChoice `json:"choices"`
	Usage   *engine.Usage      `json:"usage,omitempty"`
}

type completionChoice struct {
	Index        int               `json:"index"`
	Message      completionMessage `json:"message"`
	FinishReason *string           `json:"finish_reason"`
}

type completionMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// lengthLimitEvent returns the last event of a response that was truncated at the
// output limit. It replaces exceeding, the event that exceeded the limit.
func lengthLimitEvent(exceeding engine.Event, usage *engine.Usage) engine.Event {
	var c chunk
	// If the event cannot be decoded, the last event is sent without id and model.
	_ = json.Unmarshal(exceeding.Data, &c)
	reason := "length"
	c.Object = "chat.completion.chunk"
	c.Choices = []chunkChoice{{FinishReason: &reason}}
	c.Usage = usage
	data, err := json.Marshal(c)
	if err != nil {
		// Unreachable: the chunk contains only strings and numbers.
		data = []byte("{}")
	}
	return engine.Event{Index: exceeding.Index, Data: data, Usage: usage, Done: true}
}
