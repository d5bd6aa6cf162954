package bundle

import (
	"fmt"
	"strings"
)

// SignoffError reports that a bundle has too few valid signatures.
type SignoffError struct {
	Have     int      // number of distinct operators with a valid signature
	Required int      // number of distinct operators that must sign
	Missing  []string // names of operators without a valid signature
	Ignored  []string // for each invalid signature, the reason why it does not count
}

// Error implements error.
func (e *SignoffError) Error() string {
	text := fmt.Sprintf("%d of %d required sign-offs; not signed by: %s", e.Have, e.Required, strings.Join(e.Missing, ", "))
	if len(e.Ignored) > 0 {
		text += "; not counted: " + strings.Join(e.Ignored, "; ")
	}
	return text
}
