package engine

import (
	"context"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// benchTokens is the number of tokens per stream in benchmarks.
const benchTokens = 200

// scriptedConn is a connection that responds to each request with the same byte
// slices, one per read, so that a benchmark of the client includes neither a
// server nor system calls.
type scriptedConn struct {
	net.Conn
	response [][]byte
	next     int           // index in response of the next slice to read
	written  chan struct{} // receives a value when a request is written
}

// Write starts the response.
func (c *scriptedConn) Write(p []byte) (int, error) {
	select {
	case c.written <- struct{}{}:
	default:
	}
	return len(p), nil
}

// Read returns the next slice of the response. Before the first slice it waits
// for a request.
func (c *scriptedConn) Read(p []byte) (int, error) {
	if c.next == len(c.response) {
		c.next = 0
	}
	if c.next == 0 {
		if _, ok := <-c.written; !ok {
			return 0, io.EOF
		}
	}
	c.next++
	return copy(p, c.response[c.next-1]), nil
}

// scriptedResponse returns an HTTP response as one byte slice for the headers, one
// per event and one for the end of the body.
func scriptedResponse(tokens int) [][]byte {
	pieces := [][]byte{[]byte("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nX-Stream-Id: s.1\r\nTransfer-Encoding: chunked\r\n\r\n")}
	const format = "id: %d\ndata: {\"id\":\"s.1\",\"object\":\"chat.completion.chunk\",\"created\":0,\"model\":\"m\"," +
		"\"choices\":[{\"index\":0,\"delta\":{\"content\":\" a74fb3\"},\"finish_reason\":null}]}\n\n"
	var all []string
	for i := range tokens {
		all = append(all, fmt.Sprintf(format, i))
	}
	all = append(all, strings.SplitAfter(finalEvents(tokens), "\n\n")[:2]...)
	for _, event := range all {
		pieces = append(pieces, fmt.Appendf(nil, "%x\r\n%s\r\n", len(event), event))
	}
	return append(pieces, []byte("0\r\n\r\n"))
}

// cpuTime returns the user and system CPU time of this process.
func cpuTime() time.Duration {
	var u syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &u) != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// reportCPU reports the CPU time per token. start is the CPU time at the start
// of the measurement.
func reportCPU(b *testing.B, start time.Duration, tokens int) {
	b.ReportMetric(float64(cpuTime()-start)/float64(tokens), "cpu-ns/token")
}

// drainStream reads a stream of benchTokens tokens to its end. It is called
// from several goroutines. It makes no assertion per token, since that would
// take a tenth of the measured time.
func drainStream(b *testing.B, s Stream) {
	defer s.Close()
	tokens := 0
	for done := false; !done; {
		e, err := s.Next()
		if err != nil {
			b.Error(err)
			return
		}
		tokens += e.Tokens
		done = e.Done
	}
	if tokens != benchTokens {
		b.Errorf("%d tokens, want %d", tokens, benchTokens)
	}
}

// BenchmarkClientStream measures the client alone, without a server and without
// system calls: the decoding of HTTP, server-sent events and chunks. One operation
// is one stream of benchTokens tokens.
func BenchmarkClientStream(b *testing.B) {
	c := newClient(b, Options{})
	c.transport.DialContext = func(context.Context, string, string) (net.Conn, error) {
		local, _ := net.Pipe()
		conn := &scriptedConn{Conn: local, response: scriptedResponse(benchTokens), written: make(chan struct{}, 1)}
		return &trackedConn{Conn: conn}, nil
	}
	call := newCall(closedTarget(b))
	b.ReportAllocs()
	start := cpuTime()
	for b.Loop() {
		s, err := c.Open(context.Background(), call)
		assert.NilError(b, err)
		drainStream(b, s)
	}
	reportCPU(b, start, b.N*benchTokens)
}

// BenchmarkLoopbackStreams measures client, engine stand-in and kernel
// together: 32 concurrent streams, each with a token every 2 ms. One operation is
// one stream of benchTokens tokens.
func BenchmarkLoopbackStreams(b *testing.B) {
	const streams = 32
	to, _ := startEngine(b, 2*time.Millisecond)
	c := newClient(b, Options{})
	body := fmt.Appendf(nil, `{"model":"m","messages":[{"role":"user","content":"abcd"}],"metadata":{"x_tokens":"%d"}}`, benchTokens)
	streamNumbers := make(chan int)
	var readers sync.WaitGroup
	b.ResetTimer()
	start := cpuTime()
	for range streams {
		readers.Go(func() {
			for n := range streamNumbers {
				call := newCall(to)
				call.Stream, call.Body = fmt.Sprintf("s.%d", n), body
				s, err := c.Open(context.Background(), call)
				if err != nil {
					b.Error(err)
					continue
				}
				drainStream(b, s)
			}
		})
	}
	for n := range b.N {
		streamNumbers <- n
	}
	close(streamNumbers)
	readers.Wait()
	reportCPU(b, start, b.N*benchTokens)
}
