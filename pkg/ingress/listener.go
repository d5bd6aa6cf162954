package ingress

import (
	"context"
	"errors"
	"net"
	"net/http"
	"os"
	"sync"
	"time"

	"github.com/phuslu/log"

	"github.com/peppertrail/peppertrail/pkg/bandwidth"
	"github.com/peppertrail/peppertrail/pkg/callermem"
)

const (
	// firstRequestTimeout is how long a connection may be open without a request before it
	// counts as idle.
	firstRequestTimeout = time.Second
	// backlogQuietTime is the time without a new connection after which a listener that
	// stops has accepted all that waited. Connections that wait can be accepted at once.
	backlogQuietTime = 30 * time.Millisecond
	// callersQuietTime is the time without a new connection after which a listener that
	// drains stops accepting. While all other hosts are stopping as well, callers still
	// come, and an answer that refuses them is better than no connection.
	callersQuietTime = 500 * time.Millisecond
	// drainPollInterval is the time between two looks at the open connections of a
	// listener that drains.
	drainPollInterval = 20 * time.Millisecond
	// refusalMargin is the part of the limit by which connections may exceed it. Their
	// requests are refused with an answer; further connections are closed.
	refusalMargin = 0.2
	// limitLogInterval is the shortest time between two log lines about the limit.
	limitLogInterval = 5 * time.Second
)

// Listener accepts the connections of callers for an http.Server, whose ConnState and
// ConnContext must be those of the Listener and the package. It is safe for concurrent
// use.
type Listener struct {
	*socket
	limit  int               // connections; 0: no limit
	meter  *bandwidth.Meter  // nil: bytes are not counted
	intake *bandwidth.Intake // nil: always has room
	log    *log.Logger

	mu            sync.Mutex
	conns         map[*Conn]struct{}
	acceptedAt    time.Time     // when the last connection was accepted
	drainingAt    time.Time     // when Drain has begun; zero: it has not
	stopping      bool          // connections that wait are accepted, then the listener is closed
	stopped       chan struct{} // closed once the listener is closed
	limitLoggedAt time.Time

	memory *callermem.Account // nil: memory is not counted
	closed func(CloseCause)   // counts connections that are closed because of the limit
}

// Listen listens on a TCP address, IP:port. Beyond limit connections, requests are to be
// refused (Conn.OverLimit); 0 means no limit.
func Listen(address string, limit int, logger *log.Logger) (*Listener, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	return &Listener{socket: newSocket(l.(*net.TCPListener)), limit: limit, log: logger, conns: make(map[*Conn]struct{}), stopped: make(chan struct{})}, nil
}

// CountBytes makes the listener count the bytes of its connections. It must be called before
// Accept.
func (l *Listener) CountBytes(m *bandwidth.Meter) { l.meter = m }

// LimitIntake makes the listener suspend itself once the intake is full. It must be called before
// Accept. Whoever resumes the listener has to ask the intake.
func (l *Listener) LimitIntake(i *bandwidth.Intake) { l.intake = i }

// Accept implements net.Listener. After StopAccepting it returns http.ErrServerClosed once
// no connection waits.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		conn, err := l.AcceptTCP()
		l.mu.Lock()
		if err != nil && l.stopping {
			l.mu.Unlock()
			return nil, l.closeStopped()
		}
		if err != nil {
			l.mu.Unlock()
			return nil, err
		}
		if l.stopping {
			_ = l.SetDeadline(time.Now().Add(backlogQuietTime)) // fails only if the listener is closed
		}
		c := l.add(conn)
		l.mu.Unlock()
		if c != nil {
			return c, nil
		}
		_ = conn.Close() // nothing was sent on it
	}
}

// closeStopped closes the listener, with nothing left to accept.
func (l *Listener) closeStopped() error {
	_ = l.Close() // fails only if it is closed
	l.mu.Lock()
	defer l.mu.Unlock()
	select {
	case <-l.stopped:
	default:
		close(l.stopped)
	}
	return http.ErrServerClosed
}

// add registers a connection. It returns nil if there are too many. The caller holds the
// mutex.
func (l *Listener) add(conn *net.TCPConn) *Conn {
	now := time.Now()
	l.acceptedAt = now
	c := &Conn{TCPConn: conn, listener: l, state: http.StateNew, changed: now}
	if l.limit > 0 && len(l.conns) >= l.limit {
		l.logLimit(now)
		l.closeLeastUseful(now)
		c.overLimit = len(l.conns) >= l.limit
		if len(l.conns) >= l.limit+int(refusalMargin*float64(l.limit)) {
			l.countClosed(OverLimit)
			return nil
		}
	}
	l.conns[c] = struct{}{}
	l.countMemory(c)
	c.expected = l.intake.Accepted(now)
	if l.intake.Full(now) {
		l.Suspend()
	}
	return c
}

func (l *Listener) logLimit(now time.Time) {
	if now.Sub(l.limitLoggedAt) < limitLogInterval {
		return
	}
	l.limitLoggedAt = now
	l.log.Warn().Int("connections", len(l.conns)).Int("limit", l.limit).Msg("Limit of caller connections reached. Idle connections are closed and requests on further ones refused.")
}

// closeConn closes a connection. The caller holds the mutex.
func (l *Listener) closeConn(c *Conn) {
	l.forget(c)
	_ = c.TCPConn.Close() // the server, which reads from it, ends with the error
}

func (l *Listener) remove(c *Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.forget(c)
}

// ConnState records the state of a connection. It is the ConnState function of the
// http.Server.
func (l *Listener) ConnState(conn net.Conn, state http.ConnState) {
	c, ok := conn.(*Conn)
	if !ok {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	c.state, c.changed = state, time.Now()
	switch state {
	case http.StateActive:
		c.head.complete()
	case http.StateIdle:
		c.received.Store(false)
		c.head.reset()
	case http.StateHijacked, http.StateClosed:
		l.forget(c)
	}
}

// Open returns the number of open connections.
func (l *Listener) Open() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.conns)
}

// Drain accepts connections until none has come for a while, closes the listener and waits
// until the open requests have ended. It closes a connection once it is idle and no bytes of a request
// are left to read. It returns the error of ctx if ctx ends first.
func (l *Listener) Drain(ctx context.Context) error {
	ticker := time.NewTicker(drainPollInterval)
	defer ticker.Stop()
	for !l.drained() {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return errors.Join(ctx.Err(), l.closeUnlessClosed())
		}
	}
	return nil
}

// drained closes the connections that may be closed. It reports whether nothing is left to
// accept and no connection is open.
func (l *Listener) drained() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	for c := range l.conns {
		if c.mayBeClosed(now) {
			l.closeConn(c)
		}
	}
	// While all hosts stop, callers still come; a planned stop takes them whatever the link carries.
	open := l.keepOpen()
	if l.drainingAt.IsZero() {
		l.drainingAt = now
	}
	switch {
	case l.stopping || now.Sub(l.acceptedAt) < callersQuietTime:
	case open:
		l.stopping = true
		_ = l.SetDeadline(now.Add(backlogQuietTime)) // fails only if the listener is closed
	case now.Sub(l.drainingAt) >= callersQuietTime: // its address is taken, so that no caller can come
		l.stopping = true
		_ = l.Close() // wakes Accept
	}
	select {
	case <-l.stopped:
		return len(l.conns) == 0
	default:
		return false
	}
}

func (l *Listener) closeUnlessClosed() error {
	if err := l.Close(); !errors.Is(err, net.ErrClosed) && !errors.Is(err, os.ErrClosed) {
		return err
	}
	return nil
}
