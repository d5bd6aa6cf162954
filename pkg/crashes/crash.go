package crashes

import (
	"slices"
	"time"
)

// maxKeysPerCrash bounds the memory for one crash; further keys are not recorded.
const maxKeysPerCrash = 512

// crash is a target that broke off requests before they were answered.
type crash struct {
	at time.Time
	// keys holds the keys of the broken requests, with their largest position in one of
	// them; 0 is the first part of a prompt.
	keys map[string]int
	// requests holds the parts of the broken requests, by key of the request.
	requests map[string][]string
	causes   []string // keys that are blocked
	// pending means that keys were not evaluated yet. newRequests means that keys of
	// requests are among them.
	pending, newRequests bool
}

func newCrash(at time.Time) *crash {
	return &crash{at: at, keys: make(map[string]int), requests: make(map[string][]string)}
}

func (c *crash) has(key string) bool {
	_, has := c.keys[key]
	return has
}

// add adds the key at a position of a request. It reports whether the key is new.
func (c *crash) add(key string, position int, request []string) bool {
	known, has := c.keys[key]
	if !has && len(c.keys) >= maxKeysPerCrash {
		return false
	}
	c.keys[key] = max(known, position)
	if isRequest(key) && c.requests[key] == nil {
		c.requests[key] = request[:position]
	}
	return !has
}

// explains adds a key that is blocked.
func (c *crash) explains(key string) {
	if !slices.Contains(c.causes, key) {
		c.causes = append(c.causes, key)
	}
}

// withdraw removes a key that is no longer blocked.
func (c *crash) withdraw(key string) {
	c.causes = slices.DeleteFunc(c.causes, func(cause string) bool { return cause == key })
}
