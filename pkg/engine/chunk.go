package engine

import (
	"encoding/json"
	"errors"
	"fmt"
)

// errTargetReported means that the target sent an error object in place of a chunk.
var errTargetReported = errors.New("target reported an error")

// chunk holds the fields of an OpenAI chat completion chunk that the client reads.
type chunk struct {
	ID      string          `json:"id"`
	Choices []choice        `json:"choices"`
	Usage   *rawUsage       `json:"usage"`
	Error   json.RawMessage `json:"error"`
}

// choice is one element of the choices of a chunk.
type choice struct {
	Delta struct {
		Content   string          `json:"content"`
		Reasoning string          `json:"reasoning_content"`
		ToolCalls json.RawMessage `json:"tool_calls"`
	} `json:"delta"`
}

// decodeChunk decodes the data of an event. An error object is returned as an error.
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

// tokens returns the number of completion tokens in the chunk: one for each
// choice with output.
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
