package gateway

import "fmt"

// TokenBound returns the number of tokens that are reserved for a completion whose body
// sets max_tokens. Benchmarks use it to predict what a request reserves.
func TokenBound(body []byte) (int64, error) {
	chat, err := parseChat(body)
	if err != nil {
		return 0, fmt.Errorf("bound of a request: %w", err)
	}
	return chat.promptBound() + chat.maxTokens, nil
}
