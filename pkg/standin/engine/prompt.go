package engine

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"strings"
)

const (
	bytesPerToken           = 4  // prompt bytes that count as one token
	tokensPerMessage        = 3  // overhead of the chat template per message
	defaultCompletionTokens = 32 // number of generated tokens without a length hint, unless the output limit is lower
	digestDigits            = 16 // hexadecimal digits of a prompt digest
)

// Prompt holds the parts of a request body that the engine uses.
type Prompt struct {
	Model            string
	Text             string // contents of all messages, in order
	Digest           string // digest of roles and contents
	Tokens           int    // prompt tokens
	MaxTokens        int    // output limit of the request; 0: none
	CompletionTokens int    // number of completion tokens that the engine generates
}

// body is a chat completion request in the OpenAI format, with the fields that the
// engine uses.
type body struct {
	Model               string     `json:"model"`
	Messages            []message  `json:"messages"`
	MaxTokens           int        `json:"max_tokens"`
	MaxCompletionTokens int        `json:"max_completion_tokens"`
	XTokens             lengthHint `json:"x_tokens"`
	Metadata            struct {
		XTokens lengthHint `json:"x_tokens"`
	} `json:"metadata"`
}

// ParsePrompt reads a chat completion request in the OpenAI format.
func ParsePrompt(data []byte) (Prompt, error) {
	var b body
	if err := json.Unmarshal(data, &b); err != nil {
		return Prompt{}, fmt.Errorf("decode request: %w", err)
	}
	if len(b.Messages) == 0 {
		return Prompt{}, errors.New("request has no messages")
	}
	p := Prompt{Model: b.Model, MaxTokens: b.limit()}
	p.Text, p.Digest = digest(b.Messages)
	p.Tokens = (len(p.Text)+bytesPerToken-1)/bytesPerToken + tokensPerMessage*len(b.Messages)
	p.CompletionTokens = b.completionTokens()
	return p, nil
}

// limit returns the larger of max_tokens and max_completion_tokens, or 0 if there
// is no output limit.
func (b body) limit() int {
	return max(b.MaxTokens, b.MaxCompletionTokens, 0)
}

// completionTokens returns the number of completion tokens to generate. The length
// hint takes precedence over the output limit, so that tests can make an engine
// exceed the limit.
func (b body) completionTokens() int {
	if h := max(b.Metadata.XTokens, b.XTokens); h > 0 {
		return int(h)
	}
	if limit := b.limit(); limit > 0 {
		return min(limit, defaultCompletionTokens)
	}
	return defaultCompletionTokens
}

// digest returns the joined contents of messages, and a hash of their roles and
// contents, each terminated by a zero byte.
func digest(messages []message) (text, sum string) {
	var joined strings.Builder
	h := sha256.New()
	for _, m := range messages {
		joined.WriteString(string(m.Content))
		h.Write([]byte(m.Role + "\x00" + string(m.Content) + "\x00"))
	}
	return joined.String(), hex.EncodeToString(h.Sum(nil))[:digestDigits]
}
