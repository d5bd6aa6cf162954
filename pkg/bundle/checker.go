package bundle

import (
	"fmt"
	"regexp"
)

// idDescription describes idPattern in error messages.
const idDescription = "1 to 64 characters out of a-z A-Z 0-9 . _ -"

var idPattern = regexp.MustCompile(fmt.Sprintf(`^[a-zA-Z0-9._-]{1,%d}$`, MaxIDLength))

// ValidID reports whether id is a valid id of a customer or budget, or a valid
// name of a service or operator.
func ValidID(id string) bool { return idPattern.MatchString(id) }

// checker collects the problems of a bundle.
type checker struct {
	problems []Problem
}

func (c *checker) report(path string, value any, allowed string) {
	text := fmt.Sprint(value)
	if s, ok := value.(string); ok {
		text = fmt.Sprintf("%q", s)
	}
	c.problems = append(c.problems, Problem{Path: path, Value: text, Allowed: allowed})
}

func (c *checker) id(path, value string) {
	if !ValidID(value) {
		c.report(path, value, idDescription)
	}
}

func (c *checker) intRange(path string, value, low, high int64) {
	if value < low || value > high {
		c.report(path, value, fmt.Sprintf("%d to %d", low, high))
	}
}

// unique reports a problem if an earlier path already uses value. seen maps
// each value to the path of its first use.
func (c *checker) unique(seen map[string]string, path, value string) {
	if first, ok := seen[value]; ok {
		c.report(path, value, "a value that "+first+" does not use")
		return
	}
	seen[value] = path
}

func (c *checker) err() error {
	if len(c.problems) == 0 {
		return nil
	}
	return &CheckError{Problems: c.problems}
}
