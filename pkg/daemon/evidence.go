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
	// attemptsTimeout is the time limit for querying the open attempts of a daemon.
	attemptsTimeout = time.Second
	// usageTimeout is the time limit for reading the usage of a stream from a target.
	usageTimeout = 5 * time.Second
)

// evidence provides the repair role with information from peers, targets and the
// holder rows.
type evidence struct {
	daemon *Daemon
}

var _ repair.Evidence = evidence{}

// QueryDaemon implements repair.Evidence.
func (e evidence) QueryDaemon(ctx context.Context, record lease.HolderRecord, holder string) (repair.DaemonStatus, error) {
	reply, err := e.daemon.queryAttempts(ctx, record.PeerAddr, holder)
	if errors.Is(err, errProcessEnded) {
		return repair.DaemonStatus{Gone: true}, nil
	}
	if err != nil {
		return repair.DaemonStatus{}, fmt.Errorf("no answer from %s: %w", record.Incarnation, err)
	}
	return repair.DaemonStatus{Home: reply.HomeIncarnation, Open: reply.Open}, nil
}

// queryAttempts queries the daemon at a peer address for its open attempts on
// grants of a holder. It returns errProcessEnded if the connection is refused: a
// daemon listens until its process ends, and the system still accepts connections
// for a paused process. This conclusion requires that the refusal comes from the
// daemon's own host, so the advertised peer address must not be that of a proxy.
func (d *Daemon) queryAttempts(ctx context.Context, addr, holder string) (peer.AttemptsReply, error) {
	ctx, cancel := context.WithTimeout(ctx, attemptsTimeout)
	defer cancel()
	reply, err := d.pool.Client(addr).Attempts(ctx, peer.AttemptsRequest{Holder: holder})
	if err == nil {
		return reply, nil
	}
	var dialer net.Dialer
	conn, dialErr := dialer.DialContext(ctx, "tcp", addr)
	if errors.Is(dialErr, syscall.ECONNREFUSED) {
		return peer.AttemptsReply{}, errProcessEnded
	}
	if dialErr == nil {
		_ = conn.Close()
	}
	return peer.AttemptsReply{}, err
}

// answerAttempts answers the attempts query of another daemon.
func (d *Daemon) answerAttempts(ctx context.Context, req peer.AttemptsRequest) (peer.AttemptsReply, error) {
	if d.router == nil {
		return peer.AttemptsReply{}, errors.New("attempts are not tracked")
	}
	status, err := d.local.Status(ctx)
	if err != nil {
		return peer.AttemptsReply{}, err
	}
	return peer.AttemptsReply{HomeIncarnation: status.Holder, FormerIncarnations: d.formerIncarnations(), Open: d.router.OpenAttempts(req.Holder)}, nil
}

// queryEntryAttempts implements home.OpenAttemptsQuery.
func (d *Daemon) queryEntryAttempts(entry, holder string) (int, bool, error) {
	if entry == holder && d.router != nil {
		return d.router.OpenAttempts(holder), false, nil
	}
	e := entryQuery{holders: d.session.Load().view, queryAttempts: d.queryAttempts}
	return e.openAttempts(context.Background(), entry, holder)
}

// LastChange implements repair.Evidence.
func (e evidence) LastChange(incarnation string) (time.Time, bool) {
	return e.daemon.session.Load().view.LastChange(incarnation)
}

// Targets implements repair.Evidence. It also returns false if this daemon cannot
// know whether a target was lost: it started after the given time or holds no bundle.
func (e evidence) Targets(since time.Time) ([]target.Target, bool) {
	d := e.daemon
	lost := time.Unix(0, d.lastTargetLossNs.Load())
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

// Usage implements repair.Evidence. It reads the stream to the end to obtain its
// token usage.
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
		usage, err := client.Cancel(ctx, t, stream) // the stream was cancelled before; this call only reads its usage
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

// CallCost implements repair.Evidence. It returns the highest call cost of the
// plain services in the bundle.
func (e evidence) CallCost() int64 {
	var highest int64
	for _, s := range e.daemon.watcher.Current().Bundle.Services {
		if s.Kind == target.Service {
			highest = max(highest, s.CallCost)
		}
	}
	return highest
}
