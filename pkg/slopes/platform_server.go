package slopes

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	standin "github.com/peppertrail/peppertrail/pkg/standin/platform"
	"github.com/peppertrail/peppertrail/pkg/storage/remote"
)

// platformServer is the platform stand-in with two listeners: one for the daemons,
// whose calls and bytes are counted, and one for the tool itself.
type platformServer struct {
	standin   *standin.Server
	counter   *tableCounter
	bytes     atomic.Int64 // bytes of the daemons' connections, both directions
	daemonURL string       // base URL for the daemons
	toolURL   string       // base URL for the tool
	client    *remote.Client
	servers   []*http.Server
}

// toolTimeout bounds the tool's own calls to the platform.
const toolTimeout = 10 * time.Second

func newPlatformServer() (*platformServer, error) {
	p := &platformServer{standin: standin.New()}
	p.counter = newTableCounter(p.standin.Handler())
	counted, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("listen for daemons: %w", err)
	}
	direct, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, errors.Join(fmt.Errorf("listen for the tool: %w", err), counted.Close())
	}
	p.daemonURL = "http://" + counted.Addr().String()
	p.toolURL = "http://" + direct.Addr().String()
	p.client = remote.New(p.toolURL, toolTimeout)
	p.serve(countedListener{Listener: counted, bytes: &p.bytes}, p.counter)
	p.serve(direct, p.standin.Handler())
	return p, nil
}

func (p *platformServer) serve(ln net.Listener, h http.Handler) {
	server := &http.Server{Handler: h, ReadHeaderTimeout: toolTimeout}
	p.servers = append(p.servers, server)
	go func() { _ = server.Serve(ln) }()
}

func (p *platformServer) close() {
	p.client.Close()
	for _, s := range p.servers {
		_ = s.Close()
	}
}

// putMember adds a member to the membership list.
func (p *platformServer) putMember(ctx context.Context, id string, body []byte) error {
	return call(ctx, http.MethodPut, p.toolURL+"/members/"+id, body)
}
