package daemon

import (
	"context"
	"errors"
	"fmt"
	"slices"

	"github.com/peppertrail/peppertrail/pkg/peer"
)

// holderRegistry looks up the holder rows of daemons. *cluster.View implements it.
type holderRegistry interface {
	// RegisteredAddr returns the address in the holder row of a daemon, live or not.
	RegisteredAddr(incarnation string) (addr string, ok bool)
	// LiveAddr returns the address of a daemon that is live according to the table.
	LiveAddr(incarnation string) (addr string, live bool)
}

// errProcessEnded reports that no process listens at a daemon's address.
var errProcessEnded = errors.New("process has ended")

// entryQuery determines how many attempts entry daemons have open on grants of a
// holder. The entry daemon of a request is the daemon that received it from the
// caller.
type entryQuery struct {
	holders       holderRegistry
	queryAttempts func(ctx context.Context, addr, holder string) (peer.AttemptsReply, error)
}

// openAttempts returns the number of attempts that an entry daemon has open on
// grants of holder, and whether the process of the entry daemon has ended. An
// entry daemon that the table no longer shows as live and that does not answer
// counts as ended: its bill lines would arrive too late for a holder that stops.
func (e entryQuery) openAttempts(ctx context.Context, entry, holder string) (open int, ended bool, err error) {
	addr, ok := e.holders.RegisteredAddr(entry)
	if !ok {
		return 0, false, fmt.Errorf("entry daemon %s has no holder row in the table", entry)
	}
	reply, err := e.queryAttempts(ctx, addr, holder)
	if err == nil {
		// A different incarnation at this address means that a new process has
		// replaced the entry daemon, unless the same process was fenced and
		// registered again.
		ended = reply.HomeIncarnation != entry && !slices.Contains(reply.FormerIncarnations, entry)
		return reply.Open, ended, nil
	}
	if errors.Is(err, errProcessEnded) {
		return 0, true, nil
	}
	if _, live := e.holders.LiveAddr(entry); !live {
		return 0, true, nil
	}
	return 0, false, fmt.Errorf("query attempts of entry daemon %s: %w", entry, err)
}
