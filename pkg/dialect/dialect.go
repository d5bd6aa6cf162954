// Package dialect names the headers that callers, hosts and targets exchange and
// decodes their values, so that the rest of the code knows neither.
package dialect

import (
	"time"

	"github.com/peppertrail/peppertrail/pkg/balance"
)

// Cost is what a request may cost, in tokens.
type Cost struct {
	Prompt    int64
	MaxOutput int64
}

// Dialect names the headers that callers, hosts and targets exchange, and
// decodes their values.
type Dialect struct {
	RequestID    string // of one attempt of a caller; targets echo it
	Deadline     string // how long the sender waits
	Key          string // API key of the customer
	Customer     string // name of the customer, for targets
	Cost         string
	PromptParts  string
	OutputHint   string // tokens that the caller expects
	ExpectTarget string // id of the target that may run the request
	Priority     string // of the request, for targets
	NotRun       string // in an answer: the target has not run the request
	Load         string // in an answer
	LastEventID  string // of a stream that goes on

	// Reserved are headers that only hosts may set. Those of callers are dropped.
	Reserved []string

	ParseDeadline  func(string) (time.Duration, error)
	FormatDeadline func(time.Duration) string
	ParseCost      func(string) (Cost, error)
	ParseParts     func(string) ([]balance.Part, error)
	ParseLoad      func(string) (balance.Load, error)
	FormatPriority func(int) string
}
