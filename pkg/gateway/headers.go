package gateway

import (
	"maps"
	"net/http"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/peppertrail/peppertrail/pkg/verdict"
)

// Headers of requests, in canonical form.
const (
	idempotencyKeyHeader = "Idempotency-Key"
	budgetHeader         = "X-Peppertrail-Budget"
	nonIdempotentHeader  = "X-Peppertrail-Non-Idempotent"
	priorityHeader       = "X-Peppertrail-Priority"
	deadlineHeader       = "X-Peppertrail-Deadline-Ms"
	apiHeaderPrefix      = "X-Peppertrail-"
)

// Headers of responses.
const (
	requestIDHeader = "X-Peppertrail-Request-Id"
	verdictHeader   = "X-Peppertrail-Verdict"
)

const (
	maxPriority     = 9
	defaultPriority = 5              // leaves room below for work that may be refused first
	maxDeadline     = 24 * time.Hour // longer ones are mistakes of the unit
)

var idempotencyKeyPattern = regexp.MustCompile(`^[A-Za-z0-9._:-]{1,128}$`)

// callerHeaders are the settings that a caller sends with a request.
type callerHeaders struct {
	key           string // empty if absent
	budget        string // empty if absent
	nonIdempotent bool
	priority      int           // 0 to 9
	deadline      time.Duration // from now; 0 if absent
}

// parseHeaders reads the API's headers. A header with the API's prefix that it
// does not know is refused, because a misspelt Non-Idempotent would be ignored.
func parseHeaders(h http.Header) (callerHeaders, *verdict.Error) {
	parsed := callerHeaders{priority: defaultPriority}
	if refusal := checkUnknownHeaders(h); refusal != nil {
		return parsed, refusal
	}
	readers := []struct {
		name    string
		allowed string
		read    func(value string) bool
	}{
		{idempotencyKeyHeader, "1 to 128 characters of [A-Za-z0-9._:-]", parsed.readKey},
		{budgetHeader, "the id of a budget", parsed.readBudget},
		{nonIdempotentHeader, "true or false", parsed.readNonIdempotent},
		{priorityHeader, "a whole number from 0 to 9", parsed.readPriority},
		{deadlineHeader, "milliseconds, a whole number from 1 to 86400000", parsed.readDeadline},
	}
	for _, r := range readers {
		values := h.Values(r.name)
		if len(values) == 0 {
			continue
		}
		if len(values) > 1 || !r.read(values[0]) {
			return parsed, invalidHeader(r.name, strings.Join(values, ", "), r.allowed)
		}
	}
	return parsed, nil
}

// checkUnknown refuses headers that carry the API's prefix but are not in its list.
func checkUnknownHeaders(h http.Header) *verdict.Error {
	known := []string{budgetHeader, nonIdempotentHeader, priorityHeader, deadlineHeader}
	for _, name := range slices.Sorted(maps.Keys(h)) {
		if !strings.HasPrefix(name, apiHeaderPrefix) || slices.Contains(known, name) {
			continue
		}
		return invalidHeader(name, h.Get(name), "one of the headers "+strings.Join(known, ", "))
	}
	return nil
}

func invalidHeader(name, value, allowed string) *verdict.Error {
	return verdict.New(verdict.NotRun, verdict.BadRequest, "header %s: %q: allowed: %s", name, value, allowed)
}

func (c *callerHeaders) readKey(value string) bool {
	c.key = value
	return idempotencyKeyPattern.MatchString(value)
}

func (c *callerHeaders) readBudget(value string) bool {
	c.budget = value
	return value != ""
}

func (c *callerHeaders) readNonIdempotent(value string) bool {
	c.nonIdempotent = value == "true"
	return value == "true" || value == "false"
}

func (c *callerHeaders) readPriority(value string) bool {
	n, err := strconv.ParseUint(value, 10, 8)
	c.priority = int(n)
	return err == nil && n <= maxPriority
}

func (c *callerHeaders) readDeadline(value string) bool {
	n, err := strconv.ParseUint(value, 10, 32)
	c.deadline = time.Duration(n) * time.Millisecond
	return err == nil && c.deadline > 0 && c.deadline <= maxDeadline
}
