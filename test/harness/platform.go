package harness

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	standin "github.com/peppertrail/peppertrail/pkg/standin/platform"
	"github.com/peppertrail/peppertrail/pkg/storage"
	"github.com/peppertrail/peppertrail/pkg/storage/remote"
)

const (
	// controlTimeout bounds the calls of the harness to stand-ins and daemons.
	controlTimeout = 10 * time.Second
	// standinHost and proxyHost are loopback addresses that are never the source of
	// a connection. On 127.0.0.1 a busy machine runs out of free ports to listen on,
	// because every recently closed loopback connection still occupies a port there.
	standinHost = "127.0.0.201"
	proxyHost   = "127.0.0.202"
	// listeningPrefix begins the line in which a stand-in prints its address.
	listeningPrefix = "listening "
)

// controlClient is the HTTP client of the harness for calls to stand-ins and
// admin listeners.
var controlClient = &http.Client{Timeout: controlTimeout}

// Platform is the process of the platform stand-in.
type Platform struct {
	*process
	Addr string
}

// startPlatform starts the platform stand-in.
func startPlatform(t testing.TB) *Platform {
	t.Helper()
	p, addr := launchStandin(t, "platform", "platform", "--listen", standinHost+":0")
	return &Platform{process: p, Addr: addr}
}

// launchStandin starts a stand-in and returns the address that it prints.
func launchStandin(t testing.TB, name string, args ...string) (*process, string) {
	t.Helper()
	found := make(chan string, 1)
	p := launch(t, name, binary(t, standinBinary), args, func(line string) {
		if addr, ok := strings.CutPrefix(line, listeningPrefix); ok {
			found <- addr
		}
	})
	select {
	case addr := <-found:
		return p, addr
	case <-p.done:
		t.Fatalf("harness: %s exited during start: %v", name, p.err)
	case <-time.After(startTimeout):
		t.Fatalf("harness: %s printed no address within %v", name, startTimeout)
	}
	return nil, ""
}

// Table returns a client of the table that bypasses all proxies.
func (p *Platform) Table() storage.Table {
	return remote.New("http://"+p.Addr, controlTimeout)
}

// SetFaults replaces the faults that the platform stand-in injects.
func (p *Platform) SetFaults(f standin.Faults) error {
	return put("http://"+p.Addr+"/faults", f)
}

// PutMember adds or replaces a member of the membership list.
func (p *Platform) PutMember(m storage.Member) error {
	return put("http://"+p.Addr+"/members/"+m.ID, m)
}

// put sends a value as JSON in a PUT request and expects status 204.
func put(url string, value any) error {
	body, err := json.Marshal(value)
	if err != nil {
		return fmt.Errorf("encode body: %w", err)
	}
	request, err := http.NewRequest(http.MethodPut, url, bytes.NewReader(body))
	if err != nil {
		return fmt.Errorf("build request: %w", err)
	}
	response, err := controlClient.Do(request)
	if err != nil {
		return fmt.Errorf("put: %w", err)
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusNoContent {
		return fmt.Errorf("put %s: status %s", url, response.Status)
	}
	return nil
}
