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

// streamEnd is the data of the last event.
const streamEnd = "[DONE]"

// answer is the whole answer of requests send.
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

// choice is one alternative of a chunk.
type choice struct {
	Delta delta `json:"delta"`
}

// delta is the new text of a choice.
type delta struct {
	Content string `json:"content"`
}

// printStream prints the text of a stream as it arrives, unless JSON output
// was asked for, and returns the whole answer.
func (a *app) printStream(body io.Reader) (answer, error) {
	var whole answer
	var text strings.Builder
	events := newEventReader(body)
	for {
		data, err := events.next()
		if err != nil {
			return whole, broken(err)
		}
		if data == streamEnd {
			whole.Text = text.String()
			return whole, nil
		}
		part, err := decodeChunk(data)
		if err != nil {
			return whole, err
		}
		if part.Usage != nil {
			whole.Usage = part.Usage
		}
		a.printPart(&text, part)
	}
}

func decodeChunk(data string) (chunk, error) {
	var part chunk
	if err := json.Unmarshal([]byte(data), &part); err != nil {
		return part, &refusal{Verdict: verdict.MayHaveRun, Message: fmt.Sprintf("event cannot be decoded: %v", err)}
	}
	if part.Error != nil {
		return part, part.Error
	}
	return part, nil
}

func (a *app) printPart(text *strings.Builder, part chunk) {
	for _, c := range part.Choices {
		text.WriteString(c.Delta.Content)
		if !a.settings.json {
			fmt.Fprint(a.stdout, c.Delta.Content)
		}
	}
}

// broken reports a stream without its last event.
func broken(err error) error {
	message := "the stream ended before its last event"
	if !errors.Is(err, io.EOF) {
		message = fmt.Sprintf("the stream broke: %v", err)
	}
	return &refusal{Verdict: verdict.MayHaveRun, Message: message + "; repeat with the same --idempotency-key to attach to it"}
}
