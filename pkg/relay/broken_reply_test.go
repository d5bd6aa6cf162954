package relay

import (
	"context"
	"errors"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/peppertrail/peppertrail/pkg/standin/rawserver"
	"github.com/peppertrail/peppertrail/pkg/standin/rowstore"
	"github.com/peppertrail/peppertrail/pkg/storage"
)

// Guards against a call that takes a part of a message of another host, whose connection was reset
// while the call was written, or the head of an HTTP response for its reply.
func TestBrokenReplyIsUnavailable(t *testing.T) {
	largeCall := rangeParams{Table: strings.Repeat("x", rawserver.UnreadBytes)}
	for _, reply := range rawserver.BrokenMessages() {
		s := rawserver.NewForMessages(reply)
		r := New(rowstore.New(nil).Client(), func() []string { return nil }, discardLog())
		for i := range rawserver.Repeats / 2 {
			ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
			var page storage.RowPage
			err := r.Call(ctx, s.Addr(), methodRange, largeCall, &page)
			cancel()
			assert.Assert(t, errors.Is(err, storage.ErrUnavailable) && !errors.Is(err, storage.ErrNotApplied), "%q, run %d: %v", reply, i, err)
			assert.Assert(t, !errors.Is(err, context.DeadlineExceeded), "%q, run %d: %v", reply, i, err)
		}
		s.Close()
	}
}
