package remote

import (
	"encoding/json"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/peppertrail/peppertrail/pkg/standin/rawserver"
	"github.com/peppertrail/peppertrail/pkg/storage"
)

// newRawPlatform returns a client of a platform that answers each call with text as soon as it has
// read its head.
func newRawPlatform(t *testing.T, end rawserver.End, text string) *Client {
	t.Helper()
	server := rawserver.New(rawserver.Answer{End: end, Text: rawserver.Always(text)})
	t.Cleanup(server.Close)
	client := New("http://"+server.Addr(), testTimeout)
	t.Cleanup(client.Close)
	return client
}

// largeTxn is not written to its end before a platform answers early.
func largeTxn() storage.Txn {
	value := `"` + strings.Repeat("x", rawserver.UnreadBytes) + `"`
	return storage.Txn{ID: "t1", Puts: []storage.Put{{Key: "a/1", Value: json.RawMessage(value)}}}
}

const committed = `{"committed":true,"revision":7}`

// Guards against taking a reply without a length for complete whose connection was reset while the
// transaction was written.
func TestResetDuringCommitIsUnavailable(t *testing.T) {
	client := newRawPlatform(t, rawserver.Reset, rawserver.Head{Status: "200 OK"}.Text()+committed)
	for i := range rawserver.Repeats {
		_, err := client.Commit(t.Context(), largeTxn())
		assert.ErrorIs(t, err, storage.ErrUnavailable, "run %d", i)
	}
}

// Guards against losing a whole reply that arrives before the transaction is written.
func TestEarlyReplyIsComplete(t *testing.T) {
	for _, end := range []rawserver.End{rawserver.Close, rawserver.HalfClose, rawserver.HalfCloseUnread, rawserver.HalfCloseReset} {
		client := newRawPlatform(t, end, rawserver.Head{Status: "200 OK"}.Text()+committed)
		for i := range rawserver.Repeats {
			outcome, err := client.Commit(t.Context(), largeTxn())
			assert.NilError(t, err, "%v, run %d", end, i)
			assert.Assert(t, outcome.Committed)
		}
	}
}

// Guards against taking a reply whose status code is none of HTTP for the platform's decision.
func TestInvalidStatusIsUnavailable(t *testing.T) { checkInvalid(t, rawserver.InvalidStatuses()) }

// Guards against taking a reply for the platform's decision in which the name of a field holds a
// blank or a control byte.
func TestInvalidNameIsUnavailable(t *testing.T) { checkInvalid(t, rawserver.InvalidNames()) }

// checkInvalid checks that replies with these heads are no decisions.
func checkInvalid(t *testing.T, heads []rawserver.Head) {
	t.Helper()
	for _, head := range heads {
		client := newRawPlatform(t, rawserver.Close, head.Text()+committed)
		_, err := client.Commit(t.Context(), insertTxn("t1", "a/1"))
		assert.ErrorIs(t, err, storage.ErrUnavailable, "%q", head)
		_, err = client.Objects().Get(t.Context(), "a")
		assert.ErrorIs(t, err, storage.ErrUnavailable, "%q", head)
	}
}
