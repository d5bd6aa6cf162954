package platform

import (
	"context"
	"io"
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against a stand-in that reports an address that it does not serve, or
// that does not stop when its context is cancelled.
func TestRun(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	addr := make(chan string, 1)
	result := make(chan error, 1)
	go func() { result <- Run(ctx, "127.0.0.1:0", func(a string) { addr <- a }) }()
	base := "http://" + <-addr
	resp, err := http.Get(base + "/stats")
	assert.NilError(t, err)
	resp.Body.Close()
	assert.Equal(t, resp.StatusCode, http.StatusOK)
	cancel()
	assert.NilError(t, <-result)
}

// Guards against a misspelt or out-of-range fault that is silently ignored: a test
// would then run without the fault.
func TestBadFaultsAreRefused(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	addr := make(chan string, 1)
	go Run(ctx, "127.0.0.1:0", func(a string) { addr <- a })
	base := "http://" + <-addr
	for body, want := range map[string]int{
		`{"table_down":true}`:           http.StatusNoContent,
		`{"tabel_down":true}`:           http.StatusBadRequest,
		`{"lost_reply_probability":2}`:  http.StatusBadRequest,
		`{"max_writes_per_second":-10}`: http.StatusBadRequest,
	} {
		req, err := http.NewRequest(http.MethodPut, base+"/faults", strings.NewReader(body))
		assert.NilError(t, err)
		resp, err := http.DefaultClient.Do(req)
		assert.NilError(t, err)
		io.Copy(io.Discard, resp.Body)
		resp.Body.Close()
		assert.Equal(t, resp.StatusCode, want, body)
	}
}
