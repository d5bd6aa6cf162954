package gateway

import (
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"strings"
)

// roles are the supported message roles.
var roles = []string{"system", "developer", "user", "assistant"}

// message is one message of a prompt.
type message struct {
	role string
	name string
	text string // text content, with the parts concatenated
}

// size returns the number of bytes in the message's text and name. The tokens of the
// role are covered by messageOverheadTokens.
func (m message) size() int64 { return int64(len(m.text) + len(m.name)) }

// parseMessages decodes the messages of a prompt.
func parseMessages(data json.RawMessage) ([]message, error) {
	var list []json.RawMessage
	if err := json.Unmarshal(data, &list); err != nil {
		return nil, errors.New("messages: allowed: an array of messages")
	}
	if len(list) == 0 {
		return nil, errors.New("messages: allowed: at least one message")
	}
	messages := make([]message, len(list))
	for i, raw := range list {
		m, err := parseMessage(raw)
		if err != nil {
			return nil, fmt.Errorf("messages[%d]: %w", i, err)
		}
		messages[i] = m
	}
	return messages, nil
}

// parseMessage decodes one message. It returns an error for members whose tokens the
// bound does not cover.
func parseMessage(data json.RawMessage) (message, error) {
	members, err := decodeObject(data)
	if err != nil {
		return message{}, err
	}
	var m message
	for name, value := range members {
		switch name {
		case "role":
			err = json.Unmarshal(value, &m.role)
		case "name":
			err = json.Unmarshal(value, &m.name)
		case "content":
			m.text, err = parseContent(value)
		default:
			return message{}, fmt.Errorf("member %q: allowed: role, name, content", name)
		}
		if err != nil {
			return message{}, fmt.Errorf("%s: %w", name, err)
		}
	}
	if _, ok := members["content"]; !ok {
		return message{}, errors.New("content is missing")
	}
	if !slices.Contains(roles, m.role) {
		return message{}, fmt.Errorf("role %q: allowed: %v", m.role, roles)
	}
	return m, nil
}

// parseContent decodes content that is a string or an array of text parts. It returns
// an error for other parts, since their size in bytes does not bound their tokens.
func parseContent(data json.RawMessage) (string, error) {
	var text string
	if err := json.Unmarshal(data, &text); err == nil {
		return text, nil
	}
	var parts []json.RawMessage
	if err := json.Unmarshal(data, &parts); err != nil {
		return "", errors.New("allowed: a string or an array of text parts")
	}
	var joined strings.Builder
	for i, raw := range parts {
		part, err := parsePart(raw)
		if err != nil {
			return "", fmt.Errorf("part %d: %w", i, err)
		}
		joined.WriteString(part)
	}
	return joined.String(), nil
}

// parsePart returns the text of a text part.
func parsePart(data json.RawMessage) (string, error) {
	members, err := decodeObject(data)
	if err != nil {
		return "", err
	}
	var kind, text string
	errKind := json.Unmarshal(members["type"], &kind)
	errText := json.Unmarshal(members["text"], &text)
	if errKind != nil || errText != nil || kind != "text" || len(members) != 2 {
		return "", errors.New(`allowed: {"type":"text","text":"..."}`)
	}
	return text, nil
}
