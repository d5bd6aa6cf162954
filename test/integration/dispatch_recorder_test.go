package integration

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"slices"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/peppertrail/peppertrail/test/harness"
)

// dispatchRecorder is an HTTP proxy between the TCP proxy of a target and its process.
// It records every dispatch, including those that a draining or dead process does not
// accept and that are therefore missing from its journal.
type dispatchRecorder struct {
	upstream string
	client   *http.Client

	mu         sync.Mutex
	dispatches []time.Time
}

// newDispatchRecorder places a recorder in front of a target. It is closed at the end
// of the test.
func newDispatchRecorder(t *testing.T, target *harness.Target) *dispatchRecorder {
	t.Helper()
	d := &dispatchRecorder{upstream: "http://" + target.Addr(), client: &http.Client{Transport: &http.Transport{}}}
	server := httptest.NewServer(d)
	t.Cleanup(func() {
		server.CloseClientConnections()
		server.Close()
		d.client.CloseIdleConnections()
	})
	target.Link.SetUpstream(server.Listener.Addr().String())
	target.Link.Reset()
	return d
}

// ServeHTTP implements http.Handler.
func (d *dispatchRecorder) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/v1/chat/completions" {
		d.mu.Lock()
		d.dispatches = append(d.dispatches, time.Now())
		d.mu.Unlock()
	}
	if err := d.forward(w, r); err != nil {
		panic(http.ErrAbortHandler) // closes the connection to the daemon, as a dead process does
	}
}

// forward sends a request to the target and returns the response as it arrives.
func (d *dispatchRecorder) forward(w http.ResponseWriter, r *http.Request) error {
	request, err := http.NewRequestWithContext(r.Context(), r.Method, d.upstream+r.URL.RequestURI(), r.Body)
	if err != nil {
		return fmt.Errorf("build request: %w", err)
	}
	request.Header = r.Header.Clone()
	request.ContentLength = r.ContentLength
	response, err := d.client.Do(request)
	if err != nil {
		return fmt.Errorf("forward: %w", err)
	}
	defer response.Body.Close()
	for name, values := range response.Header {
		w.Header()[name] = values
	}
	w.WriteHeader(response.StatusCode)
	return copyFlushed(w, response.Body)
}

// copyFlushed copies a body and flushes after each read, since it may be a stream.
func copyFlushed(w http.ResponseWriter, body io.Reader) error {
	control := http.NewResponseController(w)
	buf := make([]byte, 4<<10)
	for {
		n, err := body.Read(buf)
		if n > 0 {
			if _, err := w.Write(buf[:n]); err != nil {
				return fmt.Errorf("write: %w", err)
			}
			if err := control.Flush(); err != nil {
				return fmt.Errorf("flush: %w", err)
			}
		}
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return fmt.Errorf("read: %w", err)
		}
	}
}

// dispatchTimes returns the times at which requests were dispatched to the target.
func (d *dispatchRecorder) dispatchTimes() []time.Time {
	d.mu.Lock()
	defer d.mu.Unlock()
	return slices.Clone(d.dispatches)
}

// post sends an empty POST to the target directly.
func (d *dispatchRecorder) post(t *testing.T, path string) {
	t.Helper()
	response, err := d.client.Post(d.upstream+path, "", nil)
	assert.NilError(t, err)
	defer response.Body.Close()
	assert.Equal(t, response.StatusCode, http.StatusNoContent)
}
