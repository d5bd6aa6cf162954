package gateway

import "fmt"

// Bound returns the tokens that are reserved for a completion with this body
// and an output limit, as measurements need to know them.
func Bound(body []byte) (int64, error) {
	chat, err := parseChat(body)
	if err != nil {
		return 0, fmt.Errorf("bound of a request: %w", err)
	}
	return chat.promptBound() + chat.maxTokens, nil
}
