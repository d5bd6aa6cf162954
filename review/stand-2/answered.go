//go:build review

package main

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Figures of the case "answered".
const (
	answeredPerSecond = 120
	answeredHead      = 60_000 // bytes of the whole head; the configuration allows 16,384
	ordinaryHead      = 400    // the same without the trouble
	answeredTime      = 80 * time.Second
)

// env returns a number of the environment, to try other figures.
func env(name string, def int) int {
	if n, err := strconv.Atoi(os.Getenv(name)); err == nil {
		return n
	}
	return def
}

// runAnswered plays clients whose requests are all served at once, with heads over the limit that
// name many parts of their prompts. The platform's part: a process that exceeds memoryMb is
// killed.
func runAnswered(r *record, trouble bool) (held bool, err error) {
	model := &modelService{}
	c := &partClients{clients: 40, results: make(map[string]int)}
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return false, err
	}
	defer os.RemoveAll(dir)
	s := newStore()
	defer s.server.Close()
	for i := range modelReplicas {
		addr, err := model.listen(false)
		if err != nil {
			return false, err
		}
		s.register(fmt.Sprintf("i-%d", i), "llm", addr, 64, 1)
	}
	s.configureModel(1_000_000_000)
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
	size := env("HEAD", answeredHead)
	if !trouble {
		size = ordinaryHead
	}
	r.line("daemon ready, %.0f MB; heads of %d bytes", d.memory("VmRSS"), size)
	c.daemon, c.headBytes = d, size
	stop := make(chan struct{})
	var wait sync.WaitGroup
	wait.Go(func() { c.run(stop) })
	highest, ended := 0.0, false
	reportAt := time.Now()
	for end := time.Now().Add(answeredTime); time.Now().Before(end) && !ended; time.Sleep(watchInterval) {
		now := d.memory("VmRSS")
		highest = max(highest, now)
		switch {
		case now > memoryMb:
			ended = true
			r.line("process at %.0f MB, over the %d MB of its machine: the platform kills it", now, memoryMb)
			d.end()
		case !d.running():
			ended = true
			r.line("process has ended by itself")
		}
		if time.Now().After(reportAt) {
			reportAt = time.Now().Add(5 * time.Second)
			r.line("%.0f MB; %d requests open at the replicas; clients: %s", now, model.open.Load(), c)
		}
	}
	close(stop)
	wait.Wait()
	r.line("highest %.0f MB; the replicas got %d requests; clients: %s", highest, model.got.Load(), c)
	logReasons(r, filepath.Join(dir, "edge-1.log"))
	return !ended, nil
}

// partClients send streams with long heads, which name many parts of the prompt: the first part of
// each is its own, as that of a session; the others are shared.
type partClients struct {
	clients   int // that send at a time, each on a connection of its own
	daemon    *daemon
	headBytes int
	mu        sync.Mutex
	results   map[string]int
}

func (c *partClients) String() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return fmt.Sprint(c.results)
}

func (c *partClients) run(stop chan struct{}) {
	var wait sync.WaitGroup
	defer wait.Wait()
	jobs := make(chan int)
	for range c.clients {
		wait.Go(func() { c.work(jobs) })
	}
	defer close(jobs)
	ticker := time.NewTicker(time.Second / time.Duration(env("RATE", answeredPerSecond)))
	defer ticker.Stop()
	for i := 0; ; i++ {
		select {
		case <-stop:
			return
		case <-ticker.C:
		}
		select {
		case jobs <- i:
		case <-stop:
			return
		}
	}
}

// work sends requests one after the other on a kept connection.
func (c *partClients) work(jobs chan int) {
	var conn net.Conn
	var reader *bufio.Reader
	for i := range jobs {
		if conn == nil {
			var err error
			if conn, err = net.DialTimeout("tcp", c.daemon.frontend, time.Second); err != nil {
				conn = nil
				c.count("no connection")
				continue
			}
			reader = bufio.NewReader(conn)
		}
		result := c.exchange(conn, reader, i)
		c.count(result)
		if result != "200" {
			_ = conn.Close()
			conn = nil
		}
	}
	if conn != nil {
		_ = conn.Close()
	}
}

func (c *partClients) exchange(conn net.Conn, reader *bufio.Reader, i int) string {
	id := fmt.Sprintf("a%015d", i)
	head := fmt.Sprintf("POST /m/%d HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: %s\r\nCredential: k\r\nModel: m\r\nToken-Usage: 1800,27\r\nDeadline-Ms: 10000\r\nContent-Length: 6\r\nPrompt-Prefix: ", i, id)
	own := fmt.Sprintf("%08x:1", i)
	rest := max(1, (c.headBytes-len(head)-len(own)-4)/13)
	var parts strings.Builder
	parts.WriteString(own)
	for n := range rest {
		fmt.Fprintf(&parts, ",%08x:100", 0x5c1e07a2+n)
	}
	_ = conn.SetDeadline(time.Now().Add(3 * time.Second))
	if _, err := conn.Write([]byte(head + parts.String() + "\r\n\r\nprompt")); err != nil {
		return "closed"
	}
	response, err := http.ReadResponse(reader, nil)
	if err != nil {
		return "no answer"
	}
	buffer := make([]byte, 4096)
	for {
		if _, err := response.Body.Read(buffer); err != nil {
			break
		}
	}
	return strconv.Itoa(response.StatusCode)
}

func (c *partClients) count(result string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.results[result]++
}
