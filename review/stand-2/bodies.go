//go:build review

package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// Figures of the case "bodies".
const (
	bodyClients      = 3500
	bodyClientsPerS  = 2000 // that connect for the first time
	bodyBytes        = 60_000
	bodyPieces       = 80
	bodyPieceGap     = 100 * time.Millisecond
	bodyReconnect    = time.Second
	bodyWarmUp       = 3 * time.Second
	bodyObservedTime = 12 * time.Second
)

// runBodies plays many clients that send bodies of legal size piece by piece and stop one byte
// short of their end. A client whose connection was closed opens another one a second later.
// Beside them an ordinary caller sends a small request each 50 ms on a connection of its own,
// with another key and from another address.
func runBodies(r *record, trouble bool) (held bool, err error) {
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return false, err
	}
	defer os.RemoveAll(dir)
	if err := raiseDescriptors(bodyClients + 1500); err != nil {
		return false, err
	}
	s := newStore()
	defer s.server.Close()
	target := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		if _, err := io.Copy(io.Discard, q.Body); err != nil {
			return
		}
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
	r.line("daemon ready")
	stop := make(chan struct{})
	var crowd sync.WaitGroup
	c := &slowBodies{daemon: d}
	if trouble {
		for i := range bodyClients {
			crowd.Go(func() { c.client(i, stop) })
		}
	}
	time.Sleep(bodyWarmUp)
	o := &oneShotCallers{results: make(map[string]int)}
	o.run(r, d, c)
	close(stop)
	crowd.Wait()
	sent, answered, served := o.totals()
	r.line("%s; highest %.0f MB; ready: %t", c, d.memory("VmHWM"), d.ready())
	r.line("ordinary callers: %d sent, %d served, %d refused with an answer, %d without any answer: %s", sent, served, answered-served, sent-answered, o)
	logReasons(r, filepath.Join(dir, "edge-1.log"))
	logWarnings(r, filepath.Join(dir, "edge-1.log"))
	return 2*answered >= sent, nil
}

// raiseDescriptors raises the soft limit of descriptors of this process and those that it starts.
func raiseDescriptors(n uint64) error {
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil {
		return err
	}
	if limit.Cur >= n {
		return nil
	}
	limit.Cur = min(n, limit.Max)
	if limit.Cur < n {
		return fmt.Errorf("%d descriptors are needed, the limit is %d", n, limit.Max)
	}
	return syscall.Setrlimit(syscall.RLIMIT_NOFILE, &limit)
}

// slowBodies is the crowd.
type slowBodies struct {
	daemon              *daemon
	opened, open, bytes atomic.Int64
}

func (c *slowBodies) String() string {
	return fmt.Sprintf("crowd: %d connections opened, %d open, %.1f MB of bodies sent", c.opened.Load(), c.open.Load(), float64(c.bytes.Load())/1e6)
}

func (c *slowBodies) client(i int, stop chan struct{}) {
	pause := time.Duration(i) * time.Second / bodyClientsPerS
	for {
		select {
		case <-stop:
			return
		case <-time.After(pause):
		}
		c.send(i, stop)
		pause = bodyReconnect
	}
}

// send sends a body but for its last byte, and returns when the connection is closed.
func (c *slowBodies) send(i int, stop chan struct{}) {
	dialer := net.Dialer{LocalAddr: &net.TCPAddr{IP: net.IPv4(127, 0, 1, byte(1+i%crowdAddresses))}, Timeout: 2 * time.Second}
	conn, err := dialer.Dial("tcp", c.daemon.frontend)
	if err != nil {
		return
	}
	defer conn.Close()
	c.opened.Add(1)
	c.open.Add(1)
	defer c.open.Add(-1)
	closed := make(chan struct{})
	go func() {
		defer close(closed)
		_, _ = io.Copy(io.Discard, conn) // ends when either side closes
	}()
	if _, err := fmt.Fprintf(conn, "POST /o/x HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: crowd%d\r\nCredential: k%d\r\nDeadline-Ms: 10000\r\nContent-Length: %d\r\n\r\n", i, i%10, bodyBytes); err != nil {
		return
	}
	body := strings.Repeat("b", bodyBytes-1)
	for piece := range bodyPieces {
		n, err := io.WriteString(conn, body[piece*len(body)/bodyPieces:(piece+1)*len(body)/bodyPieces])
		c.bytes.Add(int64(n))
		if err != nil {
			return
		}
		select {
		case <-stop:
			return
		case <-closed:
			return
		case <-time.After(bodyPieceGap):
		}
	}
	select {
	case <-stop:
	case <-closed:
	}
}

// oneShotCallers are ordinary callers, each with one request on a connection of its own.
type oneShotCallers struct {
	mu      sync.Mutex
	results map[string]int // by status and reason, or by error
	sent    int
	answers int
	served  int
}

func (o *oneShotCallers) String() string {
	o.mu.Lock()
	defer o.mu.Unlock()
	return fmt.Sprint(o.results)
}

func (o *oneShotCallers) totals() (sent, answered, served int) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.sent, o.answers, o.served
}

func (o *oneShotCallers) run(r *record, d *daemon, c *slowBodies) {
	var wait sync.WaitGroup
	defer wait.Wait()
	end := time.Now().Add(bodyObservedTime)
	for i := 0; time.Now().Before(end); i++ {
		if i%40 == 0 {
			r.line("%s; %.0f MB; ordinary callers: %s", c, d.memory("VmRSS"), o)
		}
		time.Sleep(50 * time.Millisecond)
		wait.Go(func() { o.send(d, i) })
	}
}

func (o *oneShotCallers) send(d *daemon, i int) {
	client := http.Client{Timeout: 1500 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}
	q, err := http.NewRequest(http.MethodPost, "http://"+d.frontend+"/o/y", strings.NewReader("order"))
	if err != nil {
		return
	}
	q.Host = "h.example"
	q.Header = http.Header{headers.RequestID: {fmt.Sprintf("own%d", i)}, headers.Key: {"own"}, headers.CallTimeout: {"1500"}}
	result, answered, served := "", false, false
	if response, err := client.Do(q); err != nil {
		result = err.Error()[strings.LastIndex(err.Error(), ":")+1:]
	} else {
		text, _ := io.ReadAll(io.LimitReader(response.Body, 100))
		_ = response.Body.Close()
		answered, served = true, response.StatusCode == http.StatusOK
		result = strconv.Itoa(response.StatusCode)
		if !served {
			result += " " + strings.TrimSpace(string(text))
		}
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.sent++
	o.results[result]++
	if answered {
		o.answers++
	}
	if served {
		o.served++
	}
}

// logReasons counts the refusals in a daemon's log by their reasons.
func logReasons(r *record, path string) {
	data, err := os.ReadFile(path)
	if err != nil {
		return
	}
	reasons := make(map[string]int)
	for line := range strings.Lines(string(data)) {
		if _, rest, found := strings.Cut(line, `"reason":"`); found {
			reason, _, _ := strings.Cut(rest, `"`)
			reasons[reason]++
		}
	}
	r.line("refusals in the log, by reason: %v", reasons)
}
