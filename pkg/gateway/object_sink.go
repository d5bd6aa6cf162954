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

// objectSink collects the chunks of a completion and sends them as one JSON object.
type objectSink struct {
	x            *exchange
	first        chunk // id, time and model of the answer
	role         string
	text         strings.Builder
	finishReason *string // why the target stopped
	body         []byte
}

func (s *objectSink) reset() { *s = objectSink{x: s.x} }

// started is false until the end, so that a failed attempt can be repeated.
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

// prepare adds the last event and builds the object.
func (s *objectSink) prepare(ev engine.Event) error {
	if err := s.addEvent(ev); err != nil {
		return err
	}
	if s.role == "" {
		s.role = "assistant"
	}
	answer := completion{
		ID: s.first.ID, Object: "chat.completion", Created: s.first.Created, Model: s.first.Model, Usage: ev.Usage,
		Choices: []completionChoice{{
			Message:      completionMessage{Role: s.role, Content: s.text.String()},
			FinishReason: s.finishReason,
		}},
	}
	var err error
	s.body, err = json.Marshal(answer)
	return err
}

func (s *objectSink) finish(engine.Event) {
	_ = s.x.control.SetWriteDeadline(time.Now().Add(s.x.server.opts.StallTimeout))
	h := s.x.w.Header()
	h.Set("Content-Type", "application/json")
	h.Set(requestIDHeader, s.x.id)
	s.x.w.WriteHeader(http.StatusOK)
	// The answer is settled, so it makes no difference whether the caller took it.
	_, _ = s.x.w.Write(s.body)
}

// fail is not reached: the answer is sent in one piece.
func (s *objectSink) fail(*verdict.Error) {}
