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

// Request headers, in canonical form. apiHeaderPrefix is the prefix of all headers that
// this API defines.
const (
	idempotencyKeyHeader = "Idempotency-Key"
	budgetHeader         = "X-Peppertrail-Budget"
	nonIdempotentHeader  = "X-Peppertrail-Non-Idempotent"
	priorityHeader       = "X-Peppertrail-Priority"
	deadlineHeader       = "X-Peppertrail-Deadline-Ms"
	apiHeaderPrefix      = "X-Peppertrail-"
)

// Response headers.
const (
	requestIDHeader = "X-Peppertrail-Request-Id"
	verdictHeader   = "X-Peppertrail-Verdict"
)

const (
	maxPriority     = 9
	defaultPriority = 5              // leaves lower priorities for requests that may be refused first under load
	maxDeadline     = 24 * time.Hour // a longer deadline indicates a value in the wrong unit
)

var idempotencyKeyPattern = regexp.MustCompile(`^[A-Za-z0-9._:-]{1,128}$`)

// callerHeaders are the options of a request that the caller sets in headers.
type callerHeaders struct {
	key           string // empty if absent
	budget        string // empty if absent
	nonIdempotent bool
	priority      int           // 0 to 9
	deadline      time.Duration // time allowed from the arrival of the request; 0 if absent
}

// parseHeaders reads the headers of this API. It refuses an unknown header with the
// API's prefix. Otherwise a misspelt X-Peppertrail-Non-Idempotent would be ignored and
// the request would be handled as idempotent.
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

// checkUnknownHeaders refuses a header that has the API's prefix but is not a request
// header of this API.
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
