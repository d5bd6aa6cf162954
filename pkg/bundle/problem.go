package bundle

import (
	"fmt"
	"strings"
)

// Problem is one fault in a bundle.
type Problem struct {
	Path    string `json:"path"`    // field, for example customers[2].key_hashes[0]
	Value   string `json:"value"`   // what is there
	Allowed string `json:"allowed"` // what may be there
}

// String returns the problem in one line.
func (p Problem) String() string {
	return fmt.Sprintf("%s: %s is not allowed: %s", p.Path, p.Value, p.Allowed)
}

// CheckError lists every problem of a bundle.
type CheckError struct {
	Problems []Problem `json:"problems"`
}

// Error implements error, one line per problem.
func (e *CheckError) Error() string {
	lines := make([]string, 0, len(e.Problems))
	for _, p := range e.Problems {
		lines = append(lines, p.String())
	}
	return strings.Join(lines, "\n")
}
