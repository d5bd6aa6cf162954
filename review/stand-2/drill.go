//go:build review

package main

import (
	"bufio"
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
	"time"

	"github.com/peppertrail/peppertrail/platform/standin"
)

// Figures of the case "drill".
const (
	drillDaemons      = 9
	drillPrepaid      = 1_500_000
	drillPromptTokens = 11_992
	drillOutputTokens = 27 // three events of nine tokens
	drillRate         = 25 // requests a second, of one tenant
	drillCopyAge      = 4500 * time.Millisecond
	drillAway         = time.Second
	drillRestart      = 650 * time.Millisecond // from a kill to the start
	drillChange       = 5 * time.Second        // from the return of the store to the added machine
	drillObserved     = 24 * time.Second       // after the change
	heartbeat         = 1200 * time.Millisecond
)

// runDrill kills all daemons at the moment at which the store goes away, and starts them again.
// The store comes back from a copy. Some seconds later a machine is added; with AGAIN set, one
// daemon is killed once more in its place.
func runDrill(r *record, trouble bool) (held bool, err error) {
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return false, err
	}
	defer func() {
		if keep := os.Getenv("KEEP"); keep != "" {
			_ = os.CopyFS(keep, os.DirFS(dir))
		}
		_ = os.RemoveAll(dir)
	}()
	s := newStore()
	s.server.Close()
	var away atomic.Bool
	handler := standin.Store(s.client)
	s.server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		if away.Load() {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		handler.ServeHTTP(w, q)
	}))
	defer s.server.Close()
	stop := make(chan struct{})
	var background sync.WaitGroup
	defer background.Wait()
	defer close(stop)
	model := &modelService{}
	var addrs []string
	for range modelReplicas {
		addr, err := model.listen(false)
		if err != nil {
			return false, err
		}
		addrs = append(addrs, addr)
	}
	var sequence atomic.Int64 // rises with each entry, also over the return
	register := func() {
		number := int(sequence.Add(1))
		for i, addr := range addrs {
			s.register(fmt.Sprintf("i-%d", i), "llm", addr, 64, number)
		}
	}
	register()
	s.configureModel(drillPrepaid)
	background.Go(func() {
		for {
			select {
			case <-stop:
				return
			case <-time.After(heartbeat):
				if !away.Load() {
					register()
				}
			}
		}
	})
	var daemons []*daemon
	for i := range drillDaemons {
		d, err := newDaemon(dir, fmt.Sprintf("edge-%d", i+1), machineIP(i+1), "z", s.addr())
		if err != nil {
			return false, err
		}
		daemons = append(daemons, d)
		if err := d.start(); err != nil {
			return false, err
		}
		defer d.end()
	}
	for _, d := range daemons {
		if err := d.awaitReady(15 * time.Second); err != nil {
			return false, err
		}
	}
	time.Sleep(3 * time.Second)
	r.line("%d daemons ready", len(daemons))
	c := &budgetClients{daemons: daemons, results: make(map[string]int)}
	copied := s.rows.Copy()
	copiedAt := time.Now()
	background.Go(func() { c.run(stop) })
	time.Sleep(drillCopyAge)
	r.line("before: %s", c)
	if trouble {
		away.Store(true)
		for _, d := range daemons {
			d.end()
		}
		r.line("all daemons killed and the store away, its copy is %.1f s old: %s", time.Since(copiedAt).Seconds(), c)
		killedAt := time.Now()
		time.Sleep(drillRestart)
		for _, d := range daemons {
			if err := d.start(); err != nil {
				return false, err
			}
		}
		time.Sleep(time.Until(killedAt.Add(drillAway)))
		s.rows.ReturnFrom(copied)
		register()
		s.configureModel(drillPrepaid)
		away.Store(false)
		r.line("store is back from the copy")
		time.Sleep(drillChange)
		if os.Getenv("AGAIN") != "" {
			daemons[0].end()
			r.line("edge-1 is killed again: %s", c)
			time.Sleep(drillRestart)
			if err := daemons[0].start(); err != nil {
				return false, err
			}
		} else {
			added, err := newDaemon(dir, fmt.Sprintf("edge-%d", drillDaemons+1), machineIP(drillDaemons+1), "z", s.addr())
			if err != nil {
				return false, err
			}
			added.added = true
			defer added.end()
			r.line("a machine is added: %s", c)
			if err := added.start(); err != nil {
				return false, err
			}
			daemons = append(daemons, added) // for its log; clients do not use it
		}
	}
	for range int(drillObserved/time.Second) / 2 {
		time.Sleep(2 * time.Second)
		r.line("%s", c)
	}
	for _, d := range daemons {
		logLines(r, filepath.Join(dir, d.name+".log"), "recovered and grants", "cannot be recovered")
	}
	got := c.tokens.Load()
	r.line("the tenant got %d tokens in whole answers, %d are prepaid", got, drillPrepaid)
	return got <= drillPrepaid, nil
}

// logLines copies the lines of a daemon's log with one of the texts to the record.
func logLines(r *record, path string, texts ...string) {
	data, err := os.ReadFile(path)
	if err != nil {
		return
	}
	for line := range strings.Lines(string(data)) {
		for _, text := range texts {
			if strings.Contains(line, text) {
				r.line("%s: %s", filepath.Base(path), strings.TrimSpace(line))
			}
		}
	}
}

// budgetClients send the requests of one tenant to all daemons in turn and count the tokens of
// whole answers.
type budgetClients struct {
	daemons []*daemon
	tokens  atomic.Int64
	mu      sync.Mutex
	results map[string]int
}

func (c *budgetClients) String() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return fmt.Sprintf("%d tokens got, answers %v", c.tokens.Load(), c.results)
}

func (c *budgetClients) run(stop chan struct{}) {
	var wait sync.WaitGroup
	defer wait.Wait()
	ticker := time.NewTicker(time.Second / drillRate)
	defer ticker.Stop()
	for i := 0; ; i++ {
		select {
		case <-stop:
			return
		case <-ticker.C:
		}
		wait.Go(func() {
			result := c.send(c.daemons[i%len(c.daemons)], i)
			c.mu.Lock()
			c.results[result]++
			c.mu.Unlock()
		})
	}
}

func (c *budgetClients) send(d *daemon, i int) string {
	conn, err := net.DialTimeout("tcp", d.frontend, time.Second)
	if err != nil {
		return "no connection"
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(abandonAfter))
	_, _ = fmt.Fprintf(conn, "POST /m/%d HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: a%d\r\nCredential: k\r\nModel: m\r\nToken-Usage: %d,%d\r\nPrompt-Prefix: a%x:5382,b%x:6610\r\nDeadline-Ms: 10000\r\nContent-Length: 6\r\n\r\nprompt", i, i, drillPromptTokens, drillOutputTokens, i%50, i)
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return "no answer"
	}
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return "broken off"
	}
	if response.StatusCode == http.StatusOK && strings.Count(string(body), "data:") == 3 {
		c.tokens.Add(drillPromptTokens + drillOutputTokens)
	}
	return strconv.Itoa(response.StatusCode)
}
