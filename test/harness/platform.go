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
	// controlTimeout bounds the harness's own calls to stand-ins.
	controlTimeout = 10 * time.Second
	// standinHost and proxyHost are addresses that no connection leaves from. On
	// 127.0.0.1 a busy machine runs out of free ports to listen on, since every
	// loopback connection that was closed lately occupies one there.
	standinHost = "127.0.0.201"
	proxyHost   = "127.0.0.202"
	// listeningPrefix starts the line with which stand-ins announce their address.
	listeningPrefix = "listening "
)

// control is the client for the harness's own calls.
var controlClient = &http.Client{Timeout: controlTimeout}

// Platform is the platform's stand-in process.
type Platform struct {
	*process
	Addr string
}

// startPlatform starts the stand-in.
func startPlatform(t testing.TB) *Platform {
	t.Helper()
	p, addr := launchStandin(t, "platform", "platform", "--listen", standinHost+":0")
	return &Platform{process: p, Addr: addr}
}

// launchStandin starts a stand-in and returns the address that it announces.
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
		t.Fatalf("harness: %s ended at start: %v", name, p.err)
	case <-time.After(startTimeout):
		t.Fatalf("harness: %s announced no address within %v", name, startTimeout)
	}
	return nil, ""
}

// Table returns a client of the table past all proxies.
func (p *Platform) Table() storage.Table {
	return remote.New("http://"+p.Addr, controlTimeout)
}

// SetFaults replaces the faults that the stand-in injects.
func (p *Platform) SetFaults(f standin.Faults) error {
	return put("http://"+p.Addr+"/faults", f)
}

// PutMember adds or replaces a member of the membership list.
func (p *Platform) PutMember(m storage.Member) error {
	return put("http://"+p.Addr+"/members/"+m.ID, m)
}

// put sends a value as JSON.
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
