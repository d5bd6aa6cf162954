package engine

import (
	"encoding/json"
	"fmt"
)

// message is one chat message.
type message struct {
	Role    string  `json:"role"`
	Content content `json:"content"`
}

// content is the text of a message, given as a string or as a list of parts.
type content string

// UnmarshalJSON implements json.Unmarshaler. Parts other than text are ignored.
func (c *content) UnmarshalJSON(data []byte) error {
	var text string
	if json.Unmarshal(data, &text) == nil {
		*c = content(text)
		return nil
	}
	var parts []struct {
		Text string `json:"text"`
	}
	if err := json.Unmarshal(data, &parts); err != nil {
		return fmt.Errorf("content: %w", err)
	}
	for _, p := range parts {
		*c += content(p.Text)
	}
	return nil
}
