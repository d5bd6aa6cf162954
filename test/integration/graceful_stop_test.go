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

// gracefulAcceptance is how long after SIGTERM requests must still be served. The
// daemon serves for 1 s, until the load balancer has removed it. The difference is a
// margin for a signal that is delivered late.
const gracefulAcceptance = 400 * time.Millisecond

// gracefulStop is one graceful stop of a daemon.
type gracefulStop struct {
	daemon   string
	signaled time.Time
	exited   time.Time
}

// mayRefuse reports whether the stopping daemon was allowed to refuse a request: the
// request was sent to it after gracefulAcceptance and before restarted, the time from
// which the daemon accepts requests again. A zero restarted means never.
func (s gracefulStop) mayRefuse(a harness.Answer, restarted time.Time) bool {
	return a.Daemon == s.daemon && a.Sent.After(s.signaled.Add(gracefulAcceptance)) &&
		(restarted.IsZero() || a.Sent.Before(restarted))
}

// wasOpen reports whether a request was in progress when the daemon got the signal.
func (s gracefulStop) wasOpen(a harness.Answer) bool {
	return a.Sent.Before(s.signaled) && a.Ended.After(s.signaled)
}

// wasHomeOf reports whether the daemon was the home of the budget of a request. The
// stream id begins with the holder of the grant.
func (s gracefulStop) wasHomeOf(a harness.Answer) bool {
	return strings.HasPrefix(a.Stream, s.daemon+"~")
}

// checkGraceful returns an error unless an answer is complete and correct or was
// refused correctly. Only a daemon that the load balancer has removed may refuse, with
// the verdict "not run" or by closing its port, and only if no engine accepted the
// request.
func checkGraceful(a harness.Answer, mayRefuse, dispatched bool) error {
	refused := a.Status != http.StatusOK && a.Verdict == verdict.NotRun && a.Reason == verdict.ShuttingDown
	portClosed := a.Status == 0 && isClosedPort(a.Err)
	switch {
	case a.Complete && a.Err == nil && a.Text == a.Request.Text(a.Stream):
		return nil
	case mayRefuse && !dispatched && (refused || portClosed):
		return nil
	}
	return fmt.Errorf("%s through %s from %s to %s: status %d, complete %v, %s %s, dispatched %v, error %v", a.Request.Key, a.Daemon,
		a.Sent.Format(time.StampMilli), a.Ended.Format(time.StampMilli), a.Status, a.Complete, a.Verdict, a.Reason, dispatched, a.Err)
}

// isClosedPort reports whether the port was closed before or while the request was
// sent. EOF counts too: HTTP/1.1 cannot close an idle connection without the risk that
// a request is in transit, and that request ends with EOF.
func isClosedPort(err error) bool {
	return errors.Is(err, syscall.ECONNREFUSED) || errors.Is(err, syscall.ECONNRESET) || errors.Is(err, io.EOF)
}
