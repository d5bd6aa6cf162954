//go:build review

package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// Figures of the case "heads", from the sheet of kerhoas-cantine.
const (
	modelReplicas    = 18
	streamsPerSecond = 235 // menu-plan, allergen-check and ration-query together
	// abandonAfter is when clients abandon a stream without an event: two seconds, four times the
	// objective of 300 ms or eight times the pause of 250 ms, whichever is longest. Those of
	// menu-plan, with an objective of 600 ms, would wait 2.4 s.
	abandonAfter   = 2 * time.Second
	headsTime      = 12 * time.Second
	firstHeadBytes = 60_000
	headLinePause  = 100 * time.Millisecond
)

// runHeads plays model replicas in trouble, which send the lines of a head without end. The
// platform's part: a process that exceeds memoryMb is killed.
func runHeads(r *record, trouble bool) (held bool, err error) {
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return false, err
	}
	defer os.RemoveAll(dir)
	s := newStore()
	defer s.server.Close()
	inTrouble := 0
	if trouble {
		inTrouble = modelReplicas
		if n, err := strconv.Atoi(os.Getenv("REPLICAS_IN_TROUBLE")); err == nil {
			inTrouble = n
		}
	}
	model := &modelService{}
	for i := range modelReplicas {
		addr, err := model.listen(i < inTrouble)
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
	r.line("daemon ready, %.0f MB; %d of %d replicas in trouble", d.memory("VmRSS"), inTrouble, modelReplicas)
	stop := make(chan struct{})
	var wait sync.WaitGroup
	c := &streamClients{daemon: d, results: make(map[string]int)}
	wait.Go(func() { c.run(stop) })
	highest, ended := 0.0, false
	reportAt := time.Now()
	for end := time.Now().Add(headsTime); time.Now().Before(end) && !ended; time.Sleep(watchInterval) {
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
			reportAt = time.Now().Add(time.Second)
			r.line("%.0f MB; %d requests at the replicas; clients: %s", now, model.open.Load(), c)
		}
	}
	close(stop)
	wait.Wait()
	r.line("highest %.0f MB; the replicas got %d requests; clients: %s", highest, model.got.Load(), c)
	logReasons(r, filepath.Join(dir, "edge-1.log"))
	return !ended, nil
}

// modelService is the replicas of the model service.
type modelService struct {
	open, got atomic.Int64
}

func (m *modelService) listen(inTrouble bool) (addr string, err error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go m.serve(conn, inTrouble)
		}
	}()
	return l.Addr().String(), nil
}

func (m *modelService) serve(conn net.Conn, inTrouble bool) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for {
		q, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, q.Body); err != nil {
			return
		}
		m.got.Add(1)
		m.open.Add(1)
		head := fmt.Sprintf(answerHead, q.Header.Get(headers.RequestID))
		if inTrouble {
			sendEndlessHead(conn, head)
			m.open.Add(-1)
			return
		}
		err = sendStream(conn, head)
		m.open.Add(-1)
		if err != nil {
			return
		}
	}
}

// sendEndlessHead sends short lines of a head until the caller closes.
func sendEndlessHead(conn net.Conn, head string) {
	first := []byte(head)
	n := int64(46656) // 1000 in base 36
	next := func() string {
		n++
		return strconv.FormatInt(n, 36)[1:] + ":\n"
	}
	for len(first) < firstHeadBytes {
		first = append(first, next()...)
	}
	if _, err := conn.Write(first); err != nil {
		return
	}
	for {
		time.Sleep(headLinePause)
		if _, err := io.WriteString(conn, next()); err != nil {
			return
		}
	}
}

// sendStream sends three events.
func sendStream(conn net.Conn, head string) error {
	if _, err := io.WriteString(conn, head+"Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"); err != nil {
		return err
	}
	for n := range 3 {
		time.Sleep(50 * time.Millisecond)
		event := fmt.Sprintf("id: %d\ndata: nine tokens\n\n", n+1)
		if _, err := fmt.Fprintf(conn, "%x\r\n%s\r\n", len(event), event); err != nil {
			return err
		}
	}
	_, err := io.WriteString(conn, "0\r\n\r\n")
	return err
}

// streamClients send streams and abandon those without an event after abandonAfter.
type streamClients struct {
	daemon  *daemon
	mu      sync.Mutex
	results map[string]int
}

func (c *streamClients) String() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return fmt.Sprint(c.results)
}

func (c *streamClients) count(result string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.results[result]++
}

func (c *streamClients) run(stop chan struct{}) {
	var wait sync.WaitGroup
	defer wait.Wait()
	ticker := time.NewTicker(time.Second / streamsPerSecond)
	defer ticker.Stop()
	for i := 0; ; i++ {
		select {
		case <-stop:
			return
		case <-ticker.C:
		}
		wait.Go(func() { c.send(i) })
	}
}

func (c *streamClients) send(i int) {
	conn, err := net.DialTimeout("tcp", c.daemon.frontend, time.Second)
	if err != nil {
		c.count("no connection")
		return
	}
	defer conn.Close()
	_, _ = fmt.Fprintf(conn, "POST /m/%d HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: a%d\r\nCredential: k\r\nModel: m\r\nToken-Usage: 1800,27\r\nPrompt-Prefix: a%x:1200,b%x:600\r\nDeadline-Ms: 10000\r\nContent-Length: 6\r\n\r\nprompt", i, i, i%50, i)
	_ = conn.SetReadDeadline(time.Now().Add(abandonAfter))
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		var timeout net.Error
		if ok := asTimeout(err, &timeout); ok {
			c.count("abandoned")
			return
		}
		c.count("closed without an answer")
		return
	}
	_ = conn.SetReadDeadline(time.Now().Add(abandonAfter))
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		c.count("broken off")
		return
	}
	c.count(strconv.Itoa(response.StatusCode))
}
