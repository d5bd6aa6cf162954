package slopes

import (
	"bytes"
	"encoding/json"
	"io"
	"maps"
	"net/http"
	"strings"
	"sync"
)

// Names under which calls outside of the table are counted. Table calls are counted
// under the key prefix of their rows.
const (
	membersCall = "members"
	objectsCall = "objects"
)

// callCounts counts reads and writes by kind of row. A commit that writes rows of
// several kinds counts once, under the first kind other than the holder row, because
// every commit of a daemon rewrites its holder row.
type callCounts struct {
	Reads  map[string]int64 // get and scan calls, by the prefix of the first key
	Writes map[string]int64 // commits, by kind of row
	Rows   map[string]int64 // rows written, by kind of row
	Other  map[string]int64 // calls outside of the table
}

func newCallCounts() callCounts {
	return callCounts{
		Reads:  make(map[string]int64),
		Writes: make(map[string]int64),
		Rows:   make(map[string]int64),
		Other:  make(map[string]int64),
	}
}

// tableCounter counts the calls that daemons make to the platform.
type tableCounter struct {
	next http.Handler

	mu     sync.Mutex
	counts callCounts
}

func newTableCounter(next http.Handler) *tableCounter {
	return &tableCounter{next: next, counts: newCallCounts()}
}

// ServeHTTP implements http.Handler.
func (c *tableCounter) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	r.Body = io.NopCloser(bytes.NewReader(body))
	c.count(r.URL.Path, body)
	c.next.ServeHTTP(w, r)
}

// tableCall is the union of the bodies of table calls.
type tableCall struct {
	Keys   []string `json:"keys"`
	Prefix string   `json:"prefix"`
	Puts   []struct {
		Key string `json:"key"`
	} `json:"puts"`
	Deletes []string `json:"deletes"`
}

func (c *tableCounter) count(path string, body []byte) {
	var call tableCall
	if strings.HasPrefix(path, "/table/") {
		_ = json.Unmarshal(body, &call) // the stand-in refuses bodies that cannot be decoded
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case path == "/table/get" && len(call.Keys) > 0:
		c.counts.Reads[kindOf(call.Keys[0])]++
	case path == "/table/scan":
		c.counts.Reads[kindOf(call.Prefix)]++
	case path == "/table/commit":
		c.countCommit(call)
	case strings.HasPrefix(path, "/members"):
		c.counts.Other[membersCall]++
	case strings.HasPrefix(path, "/objects"):
		c.counts.Other[objectsCall]++
	}
}

func (c *tableCounter) countCommit(call tableCall) {
	commitKind := "holder"
	for _, put := range call.Puts {
		kind := kindOf(put.Key)
		c.counts.Rows[kind]++
		if commitKind == "holder" {
			commitKind = kind
		}
	}
	c.counts.Writes[commitKind]++
}

// snapshot returns a copy of the counts.
func (c *tableCounter) snapshot() callCounts {
	c.mu.Lock()
	defer c.mu.Unlock()
	return callCounts{
		Reads:  maps.Clone(c.counts.Reads),
		Writes: maps.Clone(c.counts.Writes),
		Rows:   maps.Clone(c.counts.Rows),
		Other:  maps.Clone(c.counts.Other),
	}
}

// since returns the difference from an earlier snapshot.
func (c callCounts) since(before callCounts) callCounts {
	return callCounts{
		Reads:  difference(c.Reads, before.Reads),
		Writes: difference(c.Writes, before.Writes),
		Rows:   difference(c.Rows, before.Rows),
		Other:  difference(c.Other, before.Other),
	}
}

func difference(now, before map[string]int64) map[string]int64 {
	d := make(map[string]int64)
	for kind, n := range now {
		if n != before[kind] {
			d[kind] = n - before[kind]
		}
	}
	return d
}

func sum(counts map[string]int64) int64 {
	var total int64
	for _, n := range counts {
		total += n
	}
	return total
}

// kindOf returns the kind of a row: its key up to the first slash.
func kindOf(key string) string {
	kind, _, _ := strings.Cut(key, "/")
	return kind
}
