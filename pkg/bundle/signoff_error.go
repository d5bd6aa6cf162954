package bundle

import (
	"fmt"
	"strings"
)

// SignoffError means that a bundle lacks valid signatures.
type SignoffError struct {
	Have     int      // valid signatures by distinct operators
	Required int      // how many are needed
	Missing  []string // operators who have not signed
	Ignored  []string // why signatures that are present do not count
}

// Error implements error.
func (e *SignoffError) Error() string {
	text := fmt.Sprintf("%d of %d required sign-offs; not signed by: %s", e.Have, e.Required, strings.Join(e.Missing, ", "))
	if len(e.Ignored) > 0 {
		text += "; not counted: " + strings.Join(e.Ignored, "; ")
	}
	return text
}
