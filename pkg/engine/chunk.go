package engine

import (
	"encoding/json"
	"errors"
	"fmt"
)

// errTargetReported is an error that the target sent in place of a chunk.
var errTargetReported = errors.New("target reported an error")

// chunk is the part of an OpenAI chunk that the client interprets.
type chunk struct {
	ID      string          `json:"id"`
	Choices []choice        `json:"choices"`
	Usage   *rawUsage       `json:"usage"`
	Error   json.RawMessage `json:"error"`
}

// choice is one alternative of a chunk.
type choice struct {
	Delta struct {
		Content   string          `json:"content"`
		Reasoning string          `json:"reasoning_content"`
		ToolCalls json.RawMessage `json:"tool_calls"`
	} `json:"delta"`
}

// decodeChunk reads the data of an event.
func decodeChunk(data []byte) (chunk, error) {
	var c chunk
	if err := json.Unmarshal(data, &c); err != nil {
		return chunk{}, fmt.Errorf("decode chunk: %w", err)
	}
	if len(c.Error) > 0 && string(c.Error) != "null" {
		return chunk{}, fmt.Errorf("%w: %.200s", errTargetReported, c.Error)
	}
	return c, nil
}

// tokens returns the completion tokens in the chunk: one for each choice with output.
func (c chunk) tokens() int {
	n := 0
	for _, choice := range c.Choices {
		d := choice.Delta
		if d.Content != "" || d.Reasoning != "" || (len(d.ToolCalls) > 0 && string(d.ToolCalls) != "null") {
			n++
		}
	}
	return n
}
