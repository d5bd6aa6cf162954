package engine

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// benchTokens is the number of tokens per stream in benchmarks.
const benchTokens = 200

// discardWriter is a response writer that discards the body and counts flushes.
type discardWriter struct {
	header  http.Header
	flushes int
}

// Header implements http.ResponseWriter.
func (d *discardWriter) Header() http.Header { return d.header }

// Write implements http.ResponseWriter.
func (d *discardWriter) Write(p []byte) (int, error) { return len(p), nil }

// WriteHeader implements http.ResponseWriter.
func (d *discardWriter) WriteHeader(int) {}

// Flush implements http.Flusher.
func (d *discardWriter) Flush() { d.flushes++ }

// cpuTime returns the CPU time of this process, user and system.
func cpuTime() time.Duration {
	var u syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &u) != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// BenchmarkEngineStreams measures generation and handlers without the network:
// 32 concurrent streams, each of which generates a token every 2 ms. One operation
// is one stream of benchTokens tokens.
func BenchmarkEngineStreams(b *testing.B) {
	const streams = 32
	o := testOptions()
	o.Slots, o.TokenTime = streams, 2*time.Millisecond
	e, err := New(o)
	assert.NilError(b, err)
	defer func() { assert.NilError(b, e.Close()) }()
	h := e.Handler()
	numbers := make(chan int)
	var clients sync.WaitGroup
	b.ResetTimer()
	start := cpuTime()
	for range streams {
		clients.Go(func() {
			for n := range numbers {
				r := httptest.NewRequest(http.MethodPost, "/v1/chat/completions", strings.NewReader(request("abcd", benchTokens)))
				r.Header.Set(headerStream, fmt.Sprintf("s.%d", n))
				w := &discardWriter{header: make(http.Header)}
				h.ServeHTTP(w, r)
				if w.flushes < benchTokens/4 {
					b.Errorf("only %d flushes in a stream: the machine is too busy to measure CPU time per token", w.flushes)
				}
			}
		})
	}
	for n := range b.N {
		numbers <- n
	}
	close(numbers)
	clients.Wait()
	b.ReportMetric(float64(cpuTime()-start)/float64(b.N*benchTokens), "cpu-ns/token")
}
