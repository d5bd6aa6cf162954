package engine

import (
	"fmt"
	"strconv"
	"strings"
)

// lengthHint is the number of completion tokens that a request asks for. It is a JSON
// number or a string, because the values of the OpenAI field metadata are strings.
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
