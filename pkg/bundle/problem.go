package bundle

import (
	"fmt"
	"strings"
)

// Problem is one invalid value in a bundle.
type Problem struct {
	Path    string `json:"path"`    // path of the field, for example customers[2].key_hashes[0]
	Value   string `json:"value"`   // rejected value
	Allowed string `json:"allowed"` // description of the allowed values
}

// String formats the problem on one line.
func (p Problem) String() string {
	return fmt.Sprintf("%s: %s is not allowed: %s", p.Path, p.Value, p.Allowed)
}

// CheckError lists every problem of a bundle.
type CheckError struct {
	Problems []Problem `json:"problems"`
}

// Error implements error with one line per problem.
func (e *CheckError) Error() string {
	lines := make([]string, 0, len(e.Problems))
	for _, p := range e.Problems {
		lines = append(lines, p.String())
	}
	return strings.Join(lines, "\n")
}
