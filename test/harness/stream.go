package harness

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"strings"

	"github.com/peppertrail/peppertrail/pkg/standin/engine"
)

const (
	dataPrefix = "data: "
	streamEnd  = "[DONE]"
)

// errTruncated reports a stream that ended before streamEnd.
var errTruncated = errors.New("stream ended before its final [DONE] event")

// chunk is the JSON of one stream event.
type chunk struct {
	ID      string `json:"id"`
	Choices []struct {
		Delta struct {
			Content string `json:"content"`
		} `json:"delta"`
	} `json:"choices"`
	Usage *engine.Usage `json:"usage"`
	refusal
}

// readStream reads server-sent events up to the last one or a refusal.
func (a *Answer) readStream(body io.Reader) error {
	lines := bufio.NewScanner(body)
	lines.Buffer(nil, maxReplyBytes)
	for lines.Scan() {
		data, ok := strings.CutPrefix(lines.Text(), dataPrefix)
		if !ok {
			continue
		}
		if data == streamEnd {
			a.Complete = true
			return nil
		}
		if err := a.addChunk(data); err != nil {
			return err
		}
		if a.Refused() {
			return nil
		}
	}
	if err := lines.Err(); err != nil {
		return fmt.Errorf("read stream: %w", err)
	}
	return errTruncated
}

// addChunk adds one event to the answer. It returns an error if the answer
// already has events of another stream.
func (a *Answer) addChunk(data string) error {
	var c chunk
	if err := json.Unmarshal([]byte(data), &c); err != nil {
		return fmt.Errorf("decode event %q: %w", data, err)
	}
	if c.Error != nil {
		a.setRefusal(c.refusal)
		return nil
	}
	if a.Stream != "" && c.ID != a.Stream {
		return fmt.Errorf("event of stream %s in the answer of stream %s", c.ID, a.Stream)
	}
	a.Stream = c.ID
	for _, choice := range c.Choices {
		a.Text += choice.Delta.Content
	}
	if c.Usage != nil {
		a.Usage = c.Usage
	}
	return nil
}
