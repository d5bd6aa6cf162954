package process

import (
	"context"
	"io"
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against a shutdown that aborts an accepted request.
func TestServeFinishesAcceptedWork(t *testing.T) {
	accepted, finish := make(chan struct{}), make(chan struct{})
	h := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		close(accepted)
		<-finish
		_, _ = io.WriteString(w, "whole answer")
	})
	ctx, cancel := context.WithCancel(context.Background())
	out, in := io.Pipe()
	served := make(chan error, 1)
	go func() { served <- Serve(ctx, "127.0.0.1:0", h, in, func() { close(finish) }) }()
	line := make([]byte, 64)
	n, err := out.Read(line)
	assert.NilError(t, err)
	addr, ok := strings.CutPrefix(strings.TrimSpace(string(line[:n])), "listening ")
	assert.Assert(t, ok, "%q", line[:n])
	go func() {
		<-accepted
		cancel()
	}()
	resp, err := http.Get("http://" + addr)
	assert.NilError(t, err)
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	assert.NilError(t, err)
	assert.Equal(t, string(body), "whole answer")
	assert.NilError(t, <-served)
}

// Guards against Serve reporting success when it cannot listen on its address.
func TestServeReportsListenFailure(t *testing.T) {
	err := Serve(context.Background(), "127.0.0.1:not-a-port", nil, io.Discard, nil)
	assert.Assert(t, err != nil)
}
