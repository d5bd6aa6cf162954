package integration

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"syscall"
	"time"

	"github.com/peppertrail/peppertrail/pkg/verdict"
	"github.com/peppertrail/peppertrail/test/harness"
)

// gracefulAcceptance is how long after SIGTERM requests must still be served.
// The daemon serves for 1 s until the balancer has taken it out; the rest is a
// margin for a signal that is delivered late.
const gracefulAcceptance = 400 * time.Millisecond

// gracefulStop is one graceful stop of a daemon.
type gracefulStop struct {
	daemon   string
	signaled time.Time
	exited   time.Time
}

// mayRefuse reports whether an answer comes from the stopping daemon and may have
// been refused: it was sent after the time in which requests must be served.
// restarted is when the daemon accepts requests again.
func (s gracefulStop) mayRefuse(a harness.Answer, restarted time.Time) bool {
	return a.Daemon == s.daemon && a.Sent.After(s.signaled.Add(gracefulAcceptance)) &&
		(restarted.IsZero() || a.Sent.Before(restarted))
}

// during reports whether an answer was open when the daemon got the signal.
func (s gracefulStop) wasOpen(a harness.Answer) bool {
	return a.Sent.Before(s.signaled) && a.Ended.After(s.signaled)
}

// homeOf reports whether the daemon was the home of the budget of an answer:
// the stream id begins with the holder of its grant.
func (s gracefulStop) wasHomeOf(a harness.Answer) bool {
	return strings.HasPrefix(a.Stream, s.daemon+"~")
}

// checkGraceful returns what is wrong with an answer. Only a daemon that has
// left the balancer may refuse, as "not run" or by a port that is about to
// close, and then no engine may have accepted the request.
func checkGraceful(a harness.Answer, mayRefuse, dispatched bool) error {
	refused := a.Status != http.StatusOK && a.Verdict == verdict.NotRun && a.Reason == verdict.ShuttingDown
	unaccepted := a.Status == 0 && isClosedPort(a.Err)
	switch {
	case a.Complete && a.Err == nil && a.Text == a.Request.Text(a.Stream):
		return nil
	case mayRefuse && !dispatched && (refused || unaccepted):
		return nil
	}
	return fmt.Errorf("%s through %s from %s to %s: status %d, whole %v, %s %s, dispatched %v, error %v", a.Request.Key, a.Daemon,
		a.Sent.Format(time.StampMilli), a.Ended.Format(time.StampMilli), a.Status, a.Complete, a.Verdict, a.Reason, dispatched, a.Err)
}

// isClosedPort reports whether the port was closed before or while the request
// was sent. HTTP/1.1 has no way to close an idle connection without the risk
// that a request is just on its way, which ends in EOF.
func isClosedPort(err error) bool {
	return errors.Is(err, syscall.ECONNREFUSED) || errors.Is(err, syscall.ECONNRESET) || errors.Is(err, io.EOF)
}
