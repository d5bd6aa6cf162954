// Package dialect defines the names and formats of the headers that callers, hosts
// and targets exchange, so that other packages do not depend on them.
package dialect

import (
	"time"

	"github.com/peppertrail/peppertrail/pkg/balance"
)

// Cost is the maximum cost of a request in tokens.
type Cost struct {
	Prompt    int64 // tokens of the prompt
	MaxOutput int64 // maximum tokens of the output
}

// Dialect holds the names of the headers that callers, hosts and targets exchange,
// and the functions that parse and format their values.
type Dialect struct {
	RequestID    string // id of the request, which may change when the caller repeats it; targets echo the id in the response
	CallTimeout  string // time that the sender waits for the response
	Key          string // API key of the customer
	Customer     string // name of the customer, for targets
	Cost         string // maximum cost of the request in tokens
	PromptParts  string // parts of the prompt that targets cache
	OutputHint   string // output tokens that the caller expects
	ExpectTarget string // id of the target that may run the request
	Priority     string // priority of the request, for targets
	NotRun       string // in a response: the target has not run the request
	Load         string // in a response: the load of the target
	Leaving      string // in a response: the target leaves, if the value is 1
	RateLimit    string // in a response: the requests per second that the target takes from all hosts together
	LastEventID  string // id of the event after which an event stream resumes

	// Reserved are further headers that only hosts may set. They are removed from the
	// requests of callers.
	Reserved []string

	ParseTimeout   func(string) (time.Duration, error)
	FormatTimeout  func(time.Duration) string
	ParseCost      func(string) (Cost, error)
	ParseParts     func(string) ([]balance.Part, error)
	ParseLoad      func(string) (balance.Load, error)
	FormatPriority func(int) string
}
