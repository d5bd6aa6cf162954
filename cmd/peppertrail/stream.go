package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"strings"

	"github.com/peppertrail/peppertrail/pkg/engine"
	"github.com/peppertrail/peppertrail/pkg/verdict"
)

// streamEnd is the data of the last event of a complete stream.
const streamEnd = "[DONE]"

// answer is the complete answer to a request. It is the JSON output of requests send.
type answer struct {
	Text  string        `json:"text"`
	Usage *engine.Usage `json:"usage,omitempty"`
}

// chunk is one event of a chat completion stream.
type chunk struct {
	Choices []choice      `json:"choices"`
	Usage   *engine.Usage `json:"usage"`
	Error   *refusal      `json:"error"`
}

// choice is one of the alternative answers in a chunk.
type choice struct {
	Delta delta `json:"delta"`
}

// delta is the text that a chunk appends to a choice.
type delta struct {
	Content string `json:"content"`
}

// printStream prints the text of a stream as it arrives, unless --json is set, and
// returns the complete answer.
func (a *app) printStream(body io.Reader) (answer, error) {
	var result answer
	var text strings.Builder
	events := newEventReader(body)
	for {
		data, err := events.next()
		if err != nil {
			return result, newIncompleteStreamRefusal(err)
		}
		if data == streamEnd {
			result.Text = text.String()
			return result, nil
		}
		event, err := decodeChunk(data)
		if err != nil {
			return result, err
		}
		if event.Usage != nil {
			result.Usage = event.Usage
		}
		a.printChunk(&text, event)
	}
}

func decodeChunk(data string) (chunk, error) {
	var event chunk
	if err := json.Unmarshal([]byte(data), &event); err != nil {
		return event, &refusal{Verdict: verdict.MayHaveRun, Message: fmt.Sprintf("event cannot be decoded: %v", err)}
	}
	if event.Error != nil {
		return event, event.Error
	}
	return event, nil
}

func (a *app) printChunk(text *strings.Builder, event chunk) {
	for _, c := range event.Choices {
		text.WriteString(c.Delta.Content)
		if !a.settings.jsonOutput {
			fmt.Fprint(a.stdout, c.Delta.Content)
		}
	}
}

// newIncompleteStreamRefusal returns the refusal for a stream that ended without
// its last event.
func newIncompleteStreamRefusal(err error) error {
	message := "the stream ended before its last event"
	if !errors.Is(err, io.EOF) {
		message = fmt.Sprintf("the stream broke: %v", err)
	}
	return &refusal{Verdict: verdict.MayHaveRun, Message: message + "; repeat with the same --idempotency-key to attach to it"}
}
