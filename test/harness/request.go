package harness

import (
	"encoding/json"
	"time"

	"github.com/peppertrail/peppertrail/pkg/standin/engine"
)

// Request is a chat completion request.
type Request struct {
	Customer      string
	Key           string // Idempotency-Key; empty: none
	Prompt        string // must be unique in a test, because it identifies the request in the journals
	MaxTokens     int64
	NonIdempotent bool
	NonStreaming  bool          // asks for one JSON object instead of a stream
	Deadline      time.Duration // X-Peppertrail-Deadline-Ms; 0: none
}

// chatBody is the JSON body of a chat completion request.
type chatBody struct {
	Model     string        `json:"model"`
	Messages  []chatMessage `json:"messages"`
	MaxTokens int64         `json:"max_tokens"`
	Stream    bool          `json:"stream"`
}

type chatMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// Body returns the request body.
func (r Request) Body() []byte {
	body, err := json.Marshal(chatBody{
		Model:     Model,
		Messages:  []chatMessage{{Role: "user", Content: r.Prompt}},
		MaxTokens: r.MaxTokens,
		Stream:    !r.NonStreaming,
	})
	if err != nil {
		panic("harness: encode request: " + err.Error()) // cannot happen: strings, integers and booleans always encode
	}
	return body
}

// Digest returns the prompt digest that the journals of the engines contain.
func (r Request) Digest() string {
	p, err := engine.ParsePrompt(r.Body())
	if err != nil {
		panic("harness: parse generated request: " + err.Error())
	}
	return p.Digest
}

// Text returns the complete answer text that an engine generates for the request
// in the given stream.
func (r Request) Text(stream string) string {
	text, err := engine.CompletionText(stream, r.Body())
	if err != nil {
		panic("harness: parse generated request: " + err.Error())
	}
	return text
}
