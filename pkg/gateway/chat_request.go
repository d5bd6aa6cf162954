package gateway

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"slices"
	"strings"
	"unicode/utf8"
)

// Tokens that a chat template adds to the text of the messages.
const (
	messageOverheadTokens = 16 // per message, for the role and separators
	promptOverheadTokens  = 16 // per prompt, for the start of the prompt and of the response
)

// affinityPrefixBytes is the maximum length of the prompt prefix that is used for cache
// affinity. It covers usual system prompts and avoids keeping a copy of long prompts.
const affinityPrefixBytes = 1024

// samplingMemberNames are the names of the body members that are passed to the target
// unchanged. They add no tokens to the prompt. Members that add tokens, such as tools, are
// refused because the token bound does not cover them.
var samplingMemberNames = []string{
	"temperature", "top_p", "top_k", "stop", "seed",
	"presence_penalty", "frequency_penalty", "logit_bias", "user",
}

// chatRequest is the decoded body of a chat completion request.
type chatRequest struct {
	model     string
	messages  []message
	maxTokens int64 // 0 if absent
	stream    bool
	sampling  object // members listed in samplingMemberNames
}

// parseChat decodes and validates the body of a completion request. The error names the
// member at fault and the values that it may have.
func parseChat(body []byte) (chatRequest, error) {
	if !utf8.Valid(body) {
		return chatRequest{}, errors.New("body: allowed: JSON in UTF-8")
	}
	members, err := decodeObject(body)
	if err != nil {
		return chatRequest{}, fmt.Errorf("body: %w", err)
	}
	var c chatRequest
	steps := []func(object) error{c.readModel, c.readMessages, c.readMaxTokens, c.readChoices, c.readStream}
	for _, step := range steps {
		if err := step(members); err != nil {
			return chatRequest{}, err
		}
	}
	c.sampling, err = samplingMembers(members)
	return c, err
}

func (c *chatRequest) readModel(members object) error {
	raw, ok := members["model"]
	if !ok {
		return errors.New("model is missing")
	}
	if err := json.Unmarshal(raw, &c.model); err != nil || c.model == "" {
		return fmt.Errorf("model: %s: allowed: the name of a model", raw)
	}
	return nil
}

func (c *chatRequest) readMessages(members object) error {
	raw, ok := members["messages"]
	if !ok {
		return errors.New("messages is missing")
	}
	var err error
	c.messages, err = parseMessages(raw)
	return err
}

// readMaxTokens reads the output limit from max_tokens or max_completion_tokens.
func (c *chatRequest) readMaxTokens(members object) error {
	for _, name := range []string{"max_tokens", "max_completion_tokens"} {
		raw, ok := members[name]
		if !ok {
			continue
		}
		var n int64
		if err := json.Unmarshal(raw, &n); err != nil || n <= 0 {
			return fmt.Errorf("%s: %s: allowed: a whole number above 0", name, raw)
		}
		if c.maxTokens != 0 && c.maxTokens != n {
			return errors.New("max_tokens and max_completion_tokens: allowed: one of them, or the same value")
		}
		c.maxTokens = n
	}
	return nil
}

func (c *chatRequest) readChoices(members object) error {
	raw, ok := members["n"]
	if ok && string(raw) != "1" {
		return fmt.Errorf("n: %s: allowed: 1", raw)
	}
	return nil
}

func (c *chatRequest) readStream(members object) error {
	raw, ok := members["stream"]
	if !ok {
		return nil
	}
	if err := json.Unmarshal(raw, &c.stream); err != nil {
		return fmt.Errorf("stream: %s: allowed: true or false", raw)
	}
	return nil
}

// samplingMembers returns the members listed in samplingMemberNames. It returns an error for
// a member that is not supported.
func samplingMembers(members object) (object, error) {
	handled := []string{"model", "messages", "max_tokens", "max_completion_tokens", "n", "stream", "stream_options"}
	sampling := make(object)
	for _, name := range slices.Sorted(maps.Keys(members)) {
		switch {
		case slices.Contains(samplingMemberNames, name):
			sampling[name] = members[name]
		case !slices.Contains(handled, name):
			return nil, fmt.Errorf("member %q: allowed: %s, %s", name, strings.Join(handled, ", "), strings.Join(samplingMemberNames, ", "))
		}
	}
	return sampling, nil
}

// promptBound returns an upper bound of the number of prompt tokens. It counts one
// token per byte, since a token covers at least one byte.
func (c chatRequest) promptBound() int64 {
	bound := int64(promptOverheadTokens)
	for _, m := range c.messages {
		bound += m.size() + messageOverheadTokens
	}
	return bound
}

// prefix returns at most the first affinityPrefixBytes bytes of the prompt.
func (c chatRequest) prefix() string {
	var b strings.Builder
	for _, m := range c.messages {
		b.WriteString(m.role)
		b.WriteByte('\n')
		b.WriteString(m.text)
		if b.Len() >= affinityPrefixBytes {
			return b.String()[:affinityPrefixBytes]
		}
		b.WriteByte('\n')
	}
	return b.String()
}

// targetMessage is the JSON encoding of a message in a request to a target.
type targetMessage struct {
	Role    string `json:"role"`
	Name    string `json:"name,omitempty"`
	Content string `json:"content"`
}

// targetBody encodes the request for the target. It encodes the validated values
// instead of forwarding the caller's body, so that the target cannot parse other
// values than those the bound was computed from. It always requests a stream and the
// token usage.
func (c chatRequest) targetBody(maxOutput int64) ([]byte, error) {
	messages := make([]targetMessage, len(c.messages))
	for i, m := range c.messages {
		messages[i] = targetMessage{Role: m.role, Name: m.name, Content: m.text}
	}
	head := struct {
		Model         string          `json:"model"`
		Messages      []targetMessage `json:"messages"`
		MaxTokens     int64           `json:"max_tokens"`
		Stream        bool            `json:"stream"`
		StreamOptions struct {
			IncludeUsage bool `json:"include_usage"`
		} `json:"stream_options"`
	}{Model: c.model, Messages: messages, MaxTokens: maxOutput, Stream: true}
	head.StreamOptions.IncludeUsage = true
	var buf bytes.Buffer
	enc := json.NewEncoder(&buf)
	enc.SetEscapeHTML(false)
	if err := enc.Encode(head); err != nil {
		return nil, fmt.Errorf("encode the body for the target: %w", err)
	}
	buf.Truncate(buf.Len() - len("}\n"))
	for _, name := range slices.Sorted(maps.Keys(c.sampling)) {
		fmt.Fprintf(&buf, ",%q:%s", name, c.sampling[name])
	}
	buf.WriteByte('}')
	return buf.Bytes(), nil
}
