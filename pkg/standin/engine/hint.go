package engine

import (
	"fmt"
	"strconv"
	"strings"
)

// lengthHint is a token count given as a JSON number or, as values of the OpenAI
// field metadata have to be, as a string.
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
