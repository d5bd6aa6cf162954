package slopes

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against processor time read from the wrong field when the command name
// contains spaces or parentheses.
func TestStatCPU(t *testing.T) {
	cpu, err := statCPU("42 (a) b) S 1 42 42 0 -1 4194304 500 0 0 0 123 7 0 0 20 0 9 0 100 1000 10")
	assert.NilError(t, err)
	assert.Equal(t, cpu, 1300*time.Millisecond)
	_, err = statCPU("42 (a) S 1")
	assert.ErrorContains(t, err, "fields")
}

// Guards against memory read in the wrong unit.
func TestStatusBytes(t *testing.T) {
	status := "Name:\tx\nVmRSS:\t   12 kB\nRssAnon:\t 3 kB\n"
	assert.Equal(t, statusBytes(status, "VmRSS:"), int64(12<<10))
	assert.Equal(t, statusBytes(status, "VmSwap:"), int64(0))
}

// Guards against table calls that are counted under the wrong kind of row, and
// against a request body that does not reach the stand-in.
func TestTableCounter(t *testing.T) {
	var seen []string
	c := newTableCounter(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		body := new(strings.Builder)
		_ = r.Write(body)
		seen = append(seen, body.String())
	}))
	post := func(path, body string) {
		c.ServeHTTP(httptest.NewRecorder(), httptest.NewRequest(http.MethodPost, path, strings.NewReader(body)))
	}
	before := c.snapshot()
	post("/table/get", `{"keys":["bundle/current"]}`)
	post("/table/scan", `{"prefix":"holder/","limit":500}`)
	post("/table/commit", `{"puts":[{"key":"holder/a"}]}`)
	post("/table/commit", `{"puts":[{"key":"holder/a"},{"key":"grant/a/1"},{"key":"bill/c/1"}]}`)
	post("/members", "")
	d := c.snapshot().since(before)
	assert.DeepEqual(t, d.Reads, map[string]int64{"bundle": 1, "holder": 1})
	assert.DeepEqual(t, d.Writes, map[string]int64{"holder": 1, "grant": 1})
	assert.DeepEqual(t, d.Rows, map[string]int64{"holder": 2, "grant": 1, "bill": 1})
	assert.DeepEqual(t, d.Other, map[string]int64{"members": 1})
	assert.Equal(t, sum(d.Rows), int64(4))
	assert.Equal(t, len(seen), 5)
	assert.Assert(t, strings.Contains(seen[0], "bundle/current"))
}

// Guards against a length hint that the engine stand-in does not read, which would
// limit all answers to 32 tokens.
func TestAddLengthHint(t *testing.T) {
	assert.Equal(t, string(addLengthHint([]byte(`{"max_tokens":128}`))), `{"max_tokens":128,"x_tokens":128}`)
	assert.Equal(t, string(addLengthHint([]byte(`no json`))), `no json`)
}
