package engine

import (
	"fmt"
	"strconv"
	"strings"
)

// lengthHint is a token count, given as a JSON number or as a string. Values in the
// OpenAI field metadata are always strings.
type lengthHint int

// UnmarshalJSON implements json.Unmarshaler.
func (h *lengthHint) UnmarshalJSON(data []byte) error {
	n, err := strconv.Atoi(strings.Trim(string(data), `"`))
	if err != nil {
		return fmt.Errorf("x_tokens: %w", err)
	}
	*h = lengthHint(n)
	return nil
}
