package daemon

import (
	"context"
	"errors"
	"fmt"
	"slices"

	"github.com/peppertrail/peppertrail/pkg/peer"
)

// registry gives the rows of daemons. *cluster.View implements it.
type registry interface {
	RegisteredAddr(incarnation string) (addr string, ok bool)
	LiveAddr(incarnation string) (addr string, live bool)
}

// errProcessGone says that nothing listens at a daemon's address.
var errProcessGone = errors.New("process has ended")

// entries finds out how many attempts entry daemons have open on grants of a
// holder.
type entries struct {
	rows registry
	ask  func(ctx context.Context, addr, holder string) (peer.AttemptsReply, error)
}

// open returns the attempts that an entry daemon has open, or that its process
// has ended. A daemon that the table no longer shows as live and that does not
// answer counts as ended: its lines would come too late for a holder that leaves.
func (e entries) open(ctx context.Context, entry, holder string) (open int, gone bool, err error) {
	addr, ok := e.rows.RegisteredAddr(entry)
	if !ok {
		return 0, false, fmt.Errorf("entry daemon %s is not in the table", entry)
	}
	reply, err := e.ask(ctx, addr, holder)
	if err == nil {
		// Another incarnation at the address is the process that replaced the
		// entry daemon, unless it was fenced and registered again.
		gone = reply.Home != entry && !slices.Contains(reply.Former, entry)
		return reply.Open, gone, nil
	}
	if errors.Is(err, errProcessGone) {
		return 0, true, nil
	}
	if _, live := e.rows.LiveAddr(entry); !live {
		return 0, true, nil
	}
	return 0, false, fmt.Errorf("entry daemon %s: %w", entry, err)
}
