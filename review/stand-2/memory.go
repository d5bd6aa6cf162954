//go:build review

package main

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// Figures of the case "memory".
const (
	crowdConnections = 1000
	crowdPerSecond   = 300
	crowdAddresses   = 50 // 127.0.1.1 to 127.0.1.50
	crowdPieces      = 60 // of a body, ten a second
	crowdTime        = 14 * time.Second
	headBytes        = 64_000 // the configuration allows 16,384
	ordinaryBytes    = 400    // size of the same header without the trouble
	watchInterval    = 20 * time.Millisecond
)

// runMemory plays a crowd of clients that send heads over the limit and then a chunked body in
// very small chunks, without its end. Beside them an ordinary caller sends a request each 50 ms.
// The platform's part: a process that exceeds memoryMb is killed.
func runMemory(r *record, trouble bool) (held bool, err error) {
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return false, err
	}
	defer os.RemoveAll(dir)
	s := newStore()
	defer s.server.Close()
	var ran atomic.Int64
	target := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		if _, err := io.Copy(io.Discard, q.Body); err != nil {
			return
		}
		ran.Add(1)
		w.Header().Set(headers.RequestID, q.Header.Get(headers.RequestID))
		_, _ = io.WriteString(w, "answer")
	}))
	defer target.Close()
	s.register("i-1", "app", strings.TrimPrefix(target.URL, "http://"), 6, 1)
	s.configureApp()
	d, err := newDaemon(dir, "edge-1", machineIP(1), "z", s.addr())
	if err != nil {
		return false, err
	}
	if err := d.start(); err != nil {
		return false, err
	}
	defer d.end()
	if err := d.awaitReady(10 * time.Second); err != nil {
		return false, err
	}
	r.line("daemon ready, %.0f MB", d.memory("VmRSS"))
	ordinary := &callers{}
	stop := make(chan struct{})
	var wait sync.WaitGroup
	wait.Go(func() { ordinary.run(d, stop) })
	time.Sleep(2 * time.Second)
	r.line("ordinary callers before: %s", ordinary)
	size := headBytes
	if !trouble {
		size = ordinaryBytes
	}
	c := &crowd{daemon: d, prefix: strings.TrimSuffix(strings.Repeat("1:1,", size/4), ",")}
	wait.Go(func() { c.run(stop) })
	highest, killed := 0.0, false
	reportAt := time.Now()
	for end := time.Now().Add(crowdTime); time.Now().Before(end) && !killed; time.Sleep(watchInterval) {
		now := d.memory("VmRSS")
		highest = max(highest, now)
		if now > memoryMb {
			killed = true
			r.line("process at %.0f MB, over the %d MB of its machine: the platform kills it", now, memoryMb)
			d.end()
		}
		if !d.running() && !killed {
			killed = true
			r.line("process has ended by itself")
		}
		if time.Now().After(reportAt) {
			reportAt = time.Now().Add(time.Second)
			r.line("%s; %.0f MB; ordinary callers: %s", c, now, ordinary)
		}
	}
	close(stop)
	wait.Wait()
	r.line("%s; highest %.0f MB; ordinary callers: %s; the target ran %d", c, highest, ordinary, ran.Load())
	logWarnings(r, filepath.Join(dir, "edge-1.log"))
	return !killed, nil
}

// crowd is many clients that do not end their requests.
type crowd struct {
	daemon           *daemon
	prefix           string
	opened, answered atomic.Int64
	closed           atomic.Int64
}

func (c *crowd) String() string {
	return fmt.Sprintf("crowd: %d opened, %d answered, %d closed", c.opened.Load(), c.answered.Load(), c.closed.Load())
}

func (c *crowd) run(stop chan struct{}) {
	var wait sync.WaitGroup
	defer wait.Wait()
	for i := range crowdConnections {
		select {
		case <-stop:
			return
		case <-time.After(time.Second / crowdPerSecond):
		}
		wait.Go(func() { c.client(i, stop) })
	}
}

func (c *crowd) client(i int, stop chan struct{}) {
	dialer := net.Dialer{LocalAddr: &net.TCPAddr{IP: net.IPv4(127, 0, 1, byte(1+i%crowdAddresses))}, Timeout: 2 * time.Second}
	conn, err := dialer.Dial("tcp", c.daemon.frontend)
	if err != nil {
		return
	}
	defer conn.Close()
	c.opened.Add(1)
	go func() {
		b := make([]byte, 512)
		n, err := conn.Read(b)
		if n > 0 {
			c.answered.Add(1)
		} else if err != nil && !errors.Is(err, net.ErrClosed) {
			c.closed.Add(1)
		}
	}()
	if _, err := fmt.Fprintf(conn, "POST /o/x HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: crowd%d\r\nCredential: k%d\r\nToken-Usage: 10,10\r\nDeadline-Ms: 10000\r\nTransfer-Encoding: chunked\r\nPrompt-Prefix: %s\r\n\r\n", i, i%10, c.prefix); err != nil {
		return
	}
	for range crowdPieces {
		select {
		case <-stop:
			return
		case <-time.After(100 * time.Millisecond):
			if _, err := io.WriteString(conn, strings.Repeat("1\r\nx\r\n", 150)); err != nil {
				return
			}
		}
	}
	<-stop // without the chunk that ends the body
}

// callers is an ordinary caller that sends a small request each 50 ms.
type callers struct {
	mu       sync.Mutex
	statuses map[int]int // 0: no answer
}

func (c *callers) String() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return fmt.Sprintf("%v by status, 0 is no answer", c.statuses)
}

func (c *callers) run(d *daemon, stop chan struct{}) {
	c.mu.Lock()
	c.statuses = make(map[int]int)
	c.mu.Unlock()
	client := http.Client{Timeout: 1500 * time.Millisecond}
	for i := 0; ; i++ {
		select {
		case <-stop:
			return
		case <-time.After(50 * time.Millisecond):
		}
		q, err := http.NewRequest(http.MethodPost, "http://"+d.frontend+"/o/y", strings.NewReader("order"))
		if err != nil {
			return
		}
		q.Host = "h.example"
		q.Header = http.Header{headers.RequestID: {fmt.Sprintf("own%d", i)}, headers.Key: {"own"}, headers.CallTimeout: {"1500"}}
		status := 0
		if response, err := client.Do(q); err == nil {
			if _, err := io.Copy(io.Discard, response.Body); err == nil {
				status = response.StatusCode
			}
			_ = response.Body.Close()
		}
		c.mu.Lock()
		c.statuses[status]++
		c.mu.Unlock()
	}
}

// logWarnings copies the last warnings of a daemon's log to the record.
func logWarnings(r *record, path string) {
	data, err := os.ReadFile(path)
	if err != nil {
		return
	}
	var warnings []string
	for line := range strings.Lines(string(data)) {
		if strings.Contains(line, `"level":"warn"`) || strings.Contains(line, `"level":"error"`) || strings.Contains(line, "panic") {
			warnings = append(warnings, strings.TrimSpace(line))
		}
	}
	for _, line := range warnings[max(0, len(warnings)-6):] {
		r.line("log: %s", line)
	}
}
