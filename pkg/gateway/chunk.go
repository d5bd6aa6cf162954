package gateway

import (
	"encoding/json"

	"github.com/peppertrail/peppertrail/pkg/engine"
)

// chunk is one event of a streamed completion in the OpenAI form.
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

// completion is a whole answer in the OpenAI form.
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

// lengthEvent returns the last event of an answer that was cut at the output
// limit. Over is the event that exceeded it.
func lengthLimitEvent(exceeding engine.Event, usage *engine.Usage) engine.Event {
	var c chunk
	// An event in another form still ends the answer, without id and model.
	_ = json.Unmarshal(exceeding.Data, &c)
	reason := "length"
	c.Object = "chat.completion.chunk"
	c.Choices = []chunkChoice{{FinishReason: &reason}}
	c.Usage = usage
	data, err := json.Marshal(c)
	if err != nil {
		// The chunk holds only strings and numbers, so this is not reached.
		data = []byte("{}")
	}
	return engine.Event{Index: exceeding.Index, Data: data, Usage: usage, Done: true}
}
