package config

import (
	"fmt"
	"strings"
)

// Problem is one setting or argument that is invalid.
type Problem struct {
	Flag    string // flag with its dashes, or "command line" for an argument that cannot be parsed
	Source  string // environment variable that set the value; empty if it comes from a flag or default
	Value   string // rejected value
	Allowed string // description of the allowed values
}

// String formats the problem on one line.
func (p Problem) String() string {
	name := p.Flag
	if p.Source != "" {
		name += " (from " + p.Source + ")"
	}
	return fmt.Sprintf("%s: %q: allowed: %s", name, p.Value, p.Allowed)
}

// Error reports every problem of the settings.
type Error struct {
	Problems []Problem
}

// Error implements error, with one line per problem.
func (e *Error) Error() string {
	lines := make([]string, len(e.Problems))
	for i, p := range e.Problems {
		lines[i] = p.String()
	}
	return strings.Join(lines, "\n")
}
