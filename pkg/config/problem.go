package config

import (
	"fmt"
	"strings"
)

// Problem is one setting that cannot be used.
type Problem struct {
	Flag    string // flag with its dashes, or the argument itself if it is none
	Source  string // environment variable that set it, empty if a flag or default did
	Value   string
	Allowed string
}

// String describes the problem on one line.
func (p Problem) String() string {
	name := p.Flag
	if p.Source != "" {
		name += " (from " + p.Source + ")"
	}
	return fmt.Sprintf("%s: %q: allowed: %s", name, p.Value, p.Allowed)
}

// Error holds every problem of the settings.
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
