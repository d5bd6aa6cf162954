//go:build review

package main

import (
	"bufio"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/peppertrail/peppertrail/pkg/standin/rowstore"
	"github.com/peppertrail/peppertrail/platform"
	"github.com/peppertrail/peppertrail/platform/standin"
)

// record is the file record.txt of a case.
type record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	return &record{file: f, start: time.Now()}, err
}

func (r *record) line(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	text := fmt.Sprintf("%7.3f  ", time.Since(r.start).Seconds()) + fmt.Sprintf(format, args...)
	fmt.Fprintln(r.file, text)
	fmt.Println(text)
}

func (r *record) close() { _ = r.file.Close() }

// Figures of the settings of a machine of kerhoas-cantine.
const (
	memoryMb        = 284
	fileDescriptors = 4100
	graceS          = 8
)

// daemon is one process of the deploy file's role.
type daemon struct {
	name      string
	frontend  string
	readiness string
	admin     string
	settings  string
	added     bool // the machine was added to a running system
	dir       string
	cmd       *exec.Cmd
	exited    chan struct{}
	mu        sync.Mutex
}

// Ports of daemons are below those that the system gives to connections of callers: a daemon that
// is started again finds them free.
const (
	firstDaemonPort = 20_000
	lastDaemonPort  = 32_000
)

// freePorts returns the first of n consecutive ports that are free.
func freePorts(ip string, n int) (first int, err error) {
	start := os.Getpid() % ((lastDaemonPort - firstDaemonPort) / n)
	for i := range (lastDaemonPort - firstDaemonPort) / n {
		first := firstDaemonPort + (start+i)*n%(lastDaemonPort-firstDaemonPort)
		if portsFree(ip, first, n) {
			return first, nil
		}
	}
	return 0, fmt.Errorf("no %d free ports in a row on %s", n, ip)
}

func portsFree(ip string, first, n int) bool {
	for port := first; port < first+n; port++ {
		l, err := net.Listen("tcp", fmt.Sprintf("%s:%d", ip, port))
		if err != nil {
			return false
		}
		_ = l.Close()
	}
	return true
}

// machineIP returns a loopback address of a machine of this run.
func machineIP(machine int) string {
	return fmt.Sprintf("127.%d.%d.%d", 100+os.Getpid()%100, 1+os.Getpid()/100%200, machine)
}

// newDaemon writes the settings of a machine on the given address. storeAddr is the address of
// the store as this machine reaches it.
func newDaemon(dir, name, ip, zone, storeAddr string) (*daemon, error) {
	first, err := freePorts(ip, 20)
	if err != nil {
		return nil, err
	}
	at := func(n int) string { return fmt.Sprintf("%s:%d", ip, first+n) }
	d := &daemon{name: name, frontend: at(16), readiness: at(17), admin: at(18), dir: dir, settings: filepath.Join(dir, name+".toml")}
	text := fmt.Sprintf(`nodeName = %q
role = "edge"
machineClass = "edge"
serves = ["edge"]
ip = %q
zone = %q
region = "morbihan"
portRange = [%d,%d]
seeds = []
bootstrap = true
countsAsLoss = false
discovery = "platform"
entry = "vip"
heartbeatMs = 1200
contracts = ["base","drain","config","cost","retry","recover","engine","stream","tenants","platform"]
[listen]
frontend = %q
readiness = %q
controlPlane = %q
[limits]
cpuQuota = 0.4
cores = 1
memoryMb = %d
fileDescriptors = %d
linkMbps = 1000.0
diskMb = 0
[faultTolerance]
machines = 2
zones = 0
regions = 0
[bounds]
seedLagS = 3
reuseAfterS = 2
contactMs = 3000
ackMs = 4000
catchUpS = 4
drainMs = 2000
graceS = %d
lossSlackMs = 200
configApplyMs = 2000
downgradeMs = 250
outerMs = 5000
strictRevocation = false
revokeMs = 5000
retryBudgetRatio = 0.2
retryWindowS = 10
retrySlack = 58
recoverS = 12
iterationMs = 120
reuseWindowS = 6.7
settle_ms = 1500
[platform]
address = %q
form = "table"
writesPerS = 800
readsPerS = 2000
txMs = 5.0
partWritesS = 200
rowBytes = 65536
across = false
historyS = 20
`, name, ip, zone, first, first+15, d.frontend, d.readiness, d.admin, memoryMb, fileDescriptors, graceS, storeAddr)
	return d, os.WriteFile(d.settings, []byte(text), 0o600)
}

// start starts the process. Its output goes to a file of the temporary folder.
func (d *daemon) start() error {
	out, err := os.OpenFile(filepath.Join(d.dir, d.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer out.Close()
	if d.cmd != nil || d.added {
		if err := d.restarted(); err != nil {
			return err
		}
	}
	cmd := exec.Command("target/peppertraild") // the command of deploy/system.toml
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), platform.SettingsVariable + "=" + d.settings}
	cmd.Stdout, cmd.Stderr = out, out
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	d.mu.Lock()
	d.cmd, d.exited = cmd, exited
	d.mu.Unlock()
	go func() { _ = cmd.Wait(); close(exited) }()
	return nil
}

// restarted notes in the settings that the whole system does not start for the first time.
func (d *daemon) restarted() error {
	text, err := os.ReadFile(d.settings)
	if err != nil {
		return err
	}
	return os.WriteFile(d.settings, []byte(strings.Replace(string(text), "bootstrap = true", "bootstrap = false", 1)), 0o600)
}

func (d *daemon) running() bool {
	select {
	case <-d.exited:
		return false
	default:
		return true
	}
}

// end kills the process if it runs and waits for its end.
func (d *daemon) end() {
	if d.cmd == nil {
		return
	}
	_ = d.cmd.Process.Kill()
	<-d.exited
}

func (d *daemon) ready() bool {
	c := http.Client{Timeout: time.Second}
	response, err := c.Get("http://" + d.readiness + "/api/readyz")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

func (d *daemon) awaitReady(timeout time.Duration) error {
	for end := time.Now().Add(timeout); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if d.ready() {
			return nil
		}
	}
	return fmt.Errorf("%s is not ready after %s", d.name, timeout)
}

// memory returns a field of /proc/PID/status in MB.
func (d *daemon) memory(field string) float64 {
	f, err := os.Open(fmt.Sprintf("/proc/%d/status", d.cmd.Process.Pid))
	if err != nil {
		return 0
	}
	defer f.Close()
	for lines := bufio.NewScanner(f); lines.Scan(); {
		if rest, ok := strings.CutPrefix(lines.Text(), field+":"); ok {
			kb, _ := strconv.ParseFloat(strings.TrimSpace(strings.TrimSuffix(rest, "kB")), 64)
			return kb / 1024
		}
	}
	return 0
}

// store is the stand-in of the platform's store.
type store struct {
	rows   *rowstore.Store
	client *rowstore.Client
	server *httptest.Server
}

func newStore() *store {
	rows := rowstore.New(nil)
	client := rows.Client()
	return &store{rows: rows, client: client, server: httptest.NewServer(standin.Store(client))}
}

func (s *store) addr() string { return strings.TrimPrefix(s.server.URL, "http://") }

// asTimeout reports whether err is a time-out of a connection.
func asTimeout(err error, network *net.Error) bool {
	return errors.As(err, network) && (*network).Timeout()
}
