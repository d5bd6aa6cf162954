package forward

import (
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/peppertrail/peppertrail/pkg/balance"
	"github.com/peppertrail/peppertrail/pkg/upstream"
)

// hopByHopHeaders are the headers that apply to a single connection and are not
// forwarded.
var hopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length", "Expect",
}

// targetRequest builds the request for the target of an attempt.
func (c *call) targetRequest(a *balance.Attempt) *upstream.Request {
	d := c.h.Dialect
	r := &upstream.Request{
		Method: c.r.Method, URI: c.r.RequestURI, Host: c.r.Host, Body: c.body,
		ID: c.id, EchoHeader: d.RequestID,
	}
	connectionOptionNames := c.connectionOptions()
	for name, values := range c.r.Header {
		if c.isForwarded(name, connectionOptionNames) {
			for _, value := range values {
				r.Fields = append(r.Fields, upstream.Field{Name: name, Value: value})
			}
		}
	}
	addField := func(name, value string) { r.Fields = append(r.Fields, upstream.Field{Name: name, Value: value}) }
	if !c.deadline.IsZero() {
		addField(d.CallTimeout, d.FormatTimeout(c.remaining(time.Now())))
	}
	addField(d.ExpectTarget, a.Target.ID)
	if c.customer != nil {
		addField(d.Customer, c.customer.Name)
	}
	if c.service.Engine != nil {
		addField(d.Priority, d.FormatPriority(c.priority()))
	}
	if c.lastEventID != "" {
		addField(d.LastEventID, c.lastEventID)
	} else if value := c.r.Header.Get(d.LastEventID); value != "" {
		addField(d.LastEventID, value)
	}
	return r
}

// connectionOptions returns the lower-case names of the headers that the caller
// lists in its Connection header.
func (c *call) connectionOptions() []string {
	var names []string
	for _, value := range c.r.Header.Values("Connection") {
		for name := range strings.SplitSeq(value, ",") {
			names = append(names, strings.ToLower(strings.TrimSpace(name)))
		}
	}
	return names
}

// isForwarded reports whether a header of the caller is sent to the target. The API
// key, hop-by-hop headers and headers that this host sets itself are not. The names
// in connectionOptionNames are in lower case.
func (c *call) isForwarded(name string, connectionOptionNames []string) bool {
	d := c.h.Dialect
	switch name {
	case hopHeader, d.CallTimeout, d.Key, d.Customer, d.ExpectTarget, d.Priority, d.LastEventID:
		return false
	}
	return !slices.Contains(d.Reserved, name) && !isHopByHop(name, connectionOptionNames)
}

// isHopByHop reports whether a header concerns one connection only. The names in
// connectionOptionNames are in lower case.
func isHopByHop(name string, connectionOptionNames []string) bool {
	return slices.Contains(hopByHopHeaders, name) || slices.Contains(connectionOptionNames, strings.ToLower(name))
}

// withJitter returns d plus a random delay below d/2, so that refused callers do
// not all retry at the same time.
func withJitter(d time.Duration) time.Duration { return d + rand.N(d/2) }
