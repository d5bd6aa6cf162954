package gateway

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/peppertrail/peppertrail/pkg/engine"
	"github.com/peppertrail/peppertrail/pkg/verdict"
)

// objectSink collects the chunks of a completion and sends the completion as one JSON
// object.
type objectSink struct {
	x            *exchange
	first        chunk // source of the response's id, creation time and model
	role         string
	text         strings.Builder
	finishReason *string // reported by the target; nil until then
	body         []byte
}

func (s *objectSink) reset() { *s = objectSink{x: s.x} }

// started returns false, since nothing is sent before the response is complete. A
// failed attempt can therefore be retried.
func (s *objectSink) started() bool { return false }

func (s *objectSink) addEvent(ev engine.Event) error {
	var c chunk
	if err := json.Unmarshal(ev.Data, &c); err != nil {
		return fmt.Errorf("event %d is not a completion chunk: %w", ev.Index, err)
	}
	if s.first.ID == "" {
		s.first = c
	}
	for _, choice := range c.Choices {
		if choice.Index != 0 {
			continue
		}
		if choice.Delta.Role != "" {
			s.role = choice.Delta.Role
		}
		s.text.WriteString(choice.Delta.Content)
		if choice.FinishReason != nil {
			s.finishReason = choice.FinishReason
		}
	}
	return nil
}

// prepare adds the last event and encodes the response.
func (s *objectSink) prepare(ev engine.Event) error {
	if err := s.addEvent(ev); err != nil {
		return err
	}
	if s.role == "" {
		s.role = "assistant"
	}
	response := completion{
		ID: s.first.ID, Object: "chat.completion", Created: s.first.Created, Model: s.first.Model, Usage: ev.Usage,
		Choices: []completionChoice{{
			Message:      completionMessage{Role: s.role, Content: s.text.String()},
			FinishReason: s.finishReason,
		}},
	}
	var err error
	s.body, err = json.Marshal(response)
	return err
}

func (s *objectSink) finish(engine.Event) {
	_ = s.x.control.SetWriteDeadline(time.Now().Add(s.x.server.opts.StallTimeout))
	h := s.x.w.Header()
	h.Set("Content-Type", "application/json")
	h.Set(requestIDHeader, s.x.id)
	s.x.w.WriteHeader(http.StatusOK)
	// The response is settled, so a write error changes nothing.
	_, _ = s.x.w.Write(s.body)
}

// fail is never called, since started always returns false.
func (s *objectSink) fail(*verdict.Error) {}
