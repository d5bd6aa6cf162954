package daemon

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"syscall"
	"time"

	"github.com/peppertrail/peppertrail/pkg/engine"
	"github.com/peppertrail/peppertrail/pkg/lease"
	"github.com/peppertrail/peppertrail/pkg/peer"
	"github.com/peppertrail/peppertrail/pkg/repair"
	"github.com/peppertrail/peppertrail/pkg/target"
)

const (
	askTimeout   = time.Second
	usageTimeout = 5 * time.Second
)

// evidence answers the repair role from peers, targets and the holder rows.
type evidence struct {
	daemon *Daemon
}

var _ repair.Evidence = evidence{}

// QueryDaemon implements repair.Evidence.
func (e evidence) QueryDaemon(ctx context.Context, d lease.HolderRecord, holder string) (repair.DaemonStatus, error) {
	reply, err := e.daemon.askAttempts(ctx, d.PeerAddr, holder)
	if errors.Is(err, errProcessGone) {
		return repair.DaemonStatus{Gone: true}, nil
	}
	if err != nil {
		return repair.DaemonStatus{}, fmt.Errorf("no answer from %s: %w", d.Incarnation, err)
	}
	return repair.DaemonStatus{Home: reply.Home, Open: reply.Open}, nil
}

// askAttempts asks the daemon at a peer address for its attempts on grants of a
// holder. A refused connection shows that the process has ended, which it
// returns as errProcessGone: a daemon listens until its end, and a paused
// process still accepts. It must come from the daemon's own host, so that the
// advertised address may not be that of a proxy.
func (d *Daemon) askAttempts(ctx context.Context, addr, holder string) (peer.AttemptsReply, error) {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	reply, err := d.pool.Client(addr).Attempts(ctx, peer.AttemptsRequest{Holder: holder})
	if err == nil {
		return reply, nil
	}
	var dialer net.Dialer
	conn, dialErr := dialer.DialContext(ctx, "tcp", addr)
	if errors.Is(dialErr, syscall.ECONNREFUSED) {
		return peer.AttemptsReply{}, errProcessGone
	}
	if dialErr == nil {
		_ = conn.Close()
	}
	return peer.AttemptsReply{}, err
}

// testify answers another daemon's QueryDaemon call.
func (d *Daemon) testify(ctx context.Context, req peer.AttemptsRequest) (peer.AttemptsReply, error) {
	if d.router == nil {
		return peer.AttemptsReply{}, errors.New("attempts are not tracked")
	}
	status, err := d.local.Status(ctx)
	if err != nil {
		return peer.AttemptsReply{}, err
	}
	return peer.AttemptsReply{Home: status.Holder, Former: d.former(), Open: d.router.OpenAttempts(req.Holder)}, nil
}

// askEntry implements home.OpenAttemptsQuery.
func (d *Daemon) askEntry(entry, holder string) (int, bool, error) {
	if entry == holder && d.router != nil {
		return d.router.OpenAttempts(holder), false, nil
	}
	e := entries{rows: d.session.Load().view, ask: d.askAttempts}
	return e.open(context.Background(), entry, holder)
}

// LastChange implements repair.Evidence.
func (e evidence) LastChange(incarnation string) (time.Time, bool) {
	return e.daemon.session.Load().view.LastChange(incarnation)
}

// Targets implements repair.Evidence.
func (e evidence) Targets(since time.Time) ([]target.Target, bool) {
	d := e.daemon
	lost := time.Unix(0, d.targetLoss.Load())
	if d.watcher.Current() == nil || d.started.After(since) || lost.After(since) {
		return nil, false
	}
	var engines []target.Target
	for _, s := range d.poller.View() {
		if s.Target.Kind != target.Service {
			engines = append(engines, s.Target)
		}
	}
	return engines, true
}

// Usage implements repair.Evidence. It reads the stream to its end.
func (e evidence) Usage(ctx context.Context, t target.Target, stream string) (int64, bool, error) {
	ctx, cancel := context.WithTimeout(ctx, usageTimeout)
	defer cancel()
	client := e.daemon.engine
	s, err := client.Resume(ctx, t, stream, 0)
	if errors.Is(err, engine.ErrUnknownStream) {
		return 0, false, nil
	}
	var refused *engine.Error
	if errors.As(err, &refused) && refused.Status == http.StatusGone {
		usage, err := client.Cancel(ctx, t, stream) // it was cancelled before; this only reads its usage
		return usage.TotalTokens, true, err
	}
	if err != nil {
		return 0, false, err
	}
	defer s.Close()
	for {
		event, err := s.Next()
		if err != nil {
			return 0, false, err
		}
		if !event.Done {
			continue
		}
		if event.Usage == nil {
			return 0, false, fmt.Errorf("stream %s ended without a usage", stream)
		}
		return event.Usage.TotalTokens, true, nil
	}
}

// CallCost implements repair.Evidence.
func (e evidence) CallCost() int64 {
	var highest int64
	for _, s := range e.daemon.watcher.Current().Bundle.Services {
		if s.Kind == target.Service {
			highest = max(highest, s.CallCost)
		}
	}
	return highest
}
