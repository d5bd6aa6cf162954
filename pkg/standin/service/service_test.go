package service

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"
)

// start runs a service for the duration of a test and returns its base URL.
func start(t *testing.T, o Options) (*Service, string) {
	s, err := New(o)
	assert.NilError(t, err)
	srv := httptest.NewServer(s.Handler())
	t.Cleanup(func() {
		srv.Close()
		assert.NilError(t, s.Close())
	})
	return s, srv.URL
}

// call sends a request with stream id s.1 and returns the status and the body.
func call(t *testing.T, method, url, body string) (int, string) {
	req, err := http.NewRequest(method, url, strings.NewReader(body))
	assert.NilError(t, err)
	req.Header.Set(headerStream, "s.1")
	resp, err := http.DefaultClient.Do(req)
	assert.NilError(t, err)
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	assert.NilError(t, err)
	return resp.StatusCode, string(data)
}

// waitFor polls until a condition holds.
func waitFor(t *testing.T, holds func() bool) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if holds() {
			return poll.Success()
		}
		return poll.Continue("condition is not met yet")
	}, poll.WithDelay(time.Millisecond), poll.WithTimeout(5*time.Second))
}

// Guards against a response or a journal record that does not identify the call.
func TestEchoAndJournal(t *testing.T) {
	path := filepath.Join(t.TempDir(), "journal")
	s, url := start(t, Options{Capacity: 2, Journal: path})
	status, answer := call(t, http.MethodPut, url+"/orders/1?x=2", "abc")
	assert.Equal(t, status, http.StatusOK)
	const digest = "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad" // SHA-256 of abc
	var echo Echo
	assert.NilError(t, json.Unmarshal([]byte(answer), &echo))
	assert.Equal(t, echo, Echo{Method: "PUT", Path: "/orders/1?x=2", Digest: digest, Stream: "s.1"})
	records := s.Journal()
	assert.Equal(t, len(records), 1)
	assert.Equal(t, records[0].Outcome, Completed)
	_, served := call(t, http.MethodGet, url+"/journal", "")
	file, err := os.ReadFile(path)
	assert.NilError(t, err)
	lines := strings.SplitAfter(string(file), "\n")
	assert.Equal(t, len(lines), 3) // start, end, nothing after the last line break
	assert.Equal(t, served, lines[1])
	assert.Assert(t, strings.Contains(lines[0], `"outcome":"running"`), lines[0])
}

// Guards against a repeated call without a journal record of its own.
func TestRepeatedCallIsRecordedTwice(t *testing.T) {
	s, url := start(t, Options{Capacity: 2})
	call(t, http.MethodPost, url+"/", "a")
	call(t, http.MethodPost, url+"/", "a")
	assert.Equal(t, len(s.Journal()), 2)
}

// Guards against a call that is aborted when its client disconnects.
func TestCallSurvivesDisconnect(t *testing.T) {
	s, url := start(t, Options{Capacity: 2, Delay: 300 * time.Millisecond})
	ctx, cancel := context.WithCancel(context.Background())
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url+"/", bytes.NewReader([]byte("a")))
	assert.NilError(t, err)
	go func() {
		waitFor(t, func() bool { return len(s.Journal()) == 1 })
		cancel()
	}()
	resp, err := http.DefaultClient.Do(req)
	if err == nil {
		resp.Body.Close()
	}
	assert.ErrorIs(t, err, context.Canceled)
	waitFor(t, func() bool { return s.Journal()[0].Outcome == Completed })
}

// Guards against calls that run on a draining or full service, and against a wrong
// status report.
func TestDrainAndCapacity(t *testing.T) {
	s, url := start(t, Options{Capacity: 1, Delay: 500 * time.Millisecond})
	done := make(chan int)
	go func() {
		status, _ := call(t, http.MethodPost, url+"/", "a")
		done <- status
	}()
	waitFor(t, func() bool { return s.status().Inflight == 1 })
	status, answer := call(t, http.MethodPost, url+"/", "b")
	assert.Equal(t, status, http.StatusServiceUnavailable)
	assert.Assert(t, strings.Contains(answer, `"code":"not_accepted"`), answer)
	status, _ = call(t, http.MethodPost, url+"/drain", "")
	assert.Equal(t, status, http.StatusNoContent)
	_, report := call(t, http.MethodGet, url+"/status", "")
	assert.Equal(t, strings.TrimSpace(report), `{"status":"draining","inflight":1,"capacity":1}`)
	assert.Equal(t, <-done, http.StatusOK)
	s.Wait()
	status, _ = call(t, http.MethodPost, url+"/", "c")
	assert.Equal(t, status, http.StatusServiceUnavailable)
	assert.Equal(t, len(s.Journal()), 1)
}

// Guards against a crash marker that has no effect, and against a call recorded as
// completed before the process exits.
func TestCrashMarker(t *testing.T) {
	path := filepath.Join(t.TempDir(), "journal")
	var status int
	var journal []byte
	exit := func(code int) {
		status = code
		journal, _ = os.ReadFile(path)
	}
	_, url := start(t, Options{Capacity: 1, CrashMarker: "BOOM", Journal: path, Exit: exit})
	call(t, http.MethodPost, url+"/", "a BOOM b")
	assert.Equal(t, status, CrashStatus)
	assert.Equal(t, strings.Count(string(journal), "\n"), 1)
	assert.Assert(t, strings.Contains(string(journal), `"outcome":"running"`))
}

// Guards against out-of-range settings that are accepted and fail only later.
func TestOptionsAreValidated(t *testing.T) {
	for _, o := range []Options{{Capacity: 0}, {Capacity: 1, Delay: -1}} {
		_, err := New(o)
		assert.Assert(t, err != nil)
	}
}
