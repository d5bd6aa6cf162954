package relay

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/phuslu/log"
	"gotest.tools/v3/assert"

	"github.com/peppertrail/peppertrail/pkg/standin/rowstore"
	"github.com/peppertrail/peppertrail/pkg/storage"
)

const (
	// sentAtMost is how many bytes are sent to a host that does not close the connection.
	sentAtMost = 64 << 20
	// takenAtMost is the number of bytes that a host with a limit reads, including those
	// in socket buffers.
	takenAtMost = 40 << 20
)

// endlessMessages are messages that do not end.
var endlessMessages = map[string]struct{ start, unit string }{
	"blanks": {"", " "},
	"string": {`{"jsonrpc":"2.0","id":0,"result":{"Rows":"`, "garbage"},
	"array":  {`{"jsonrpc":"2.0","method":"rows.range","params":[`, "0,"},
}

// sendEndless sends start and then unit again and again, until the peer closes or
// sentAtMost is reached. It then waits until the peer closes, and returns the bytes
// sent.
func sendEndless(c net.Conn, start, unit string) int {
	sent, _ := io.WriteString(c, start)
	block := strings.Repeat(unit, 1+(64<<10)/len(unit))
	for sent < sentAtMost {
		n, err := io.WriteString(c, block)
		sent += n
		if err != nil {
			return sent
		}
	}
	_, _ = io.Copy(io.Discard, c)
	return sent
}

// logBuffer collects log lines.
type logBuffer struct {
	mu   sync.Mutex
	text bytes.Buffer
}

// Write implements io.Writer.
func (b *logBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.Write(p)
}

func (b *logBuffer) logger() *log.Logger { return &log.Logger{Writer: log.IOWriter{Writer: b}} }

// checkLogged requires one line about a message that is too large.
func (b *logBuffer) checkLogged(t *testing.T) {
	t.Helper()
	b.mu.Lock()
	defer b.mu.Unlock()
	assert.Equal(t, strings.Count(b.text.String(), "message exceeds"), 1, "%s", b.text.String())
}

// Guards against a server that keeps a message without end of another host in memory.
func TestServerClosesConnectionWithEndlessMessage(t *testing.T) {
	for name, message := range endlessMessages {
		t.Run(name, func(t *testing.T) {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			assert.NilError(t, err)
			logged := &logBuffer{}
			go NewServer(rowstore.New(nil).Client(), logged.logger()).Serve(t.Context(), l)
			c, err := net.Dial("tcp", l.Addr().String())
			assert.NilError(t, err)
			defer c.Close()
			assert.NilError(t, c.SetDeadline(time.Now().Add(5*time.Second)))
			taken := sendEndless(c, message.start, message.unit)
			assert.Assert(t, taken < takenAtMost, "the server took %d bytes", taken)
			logged.checkLogged(t)
		})
	}
}

// Guards against a call whose reply of another host has no end and is kept in memory, or
// whose failure is reported as "not applied".
func TestCallWithEndlessReplyFails(t *testing.T) {
	for name, message := range endlessMessages {
		t.Run(name, func(t *testing.T) {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			assert.NilError(t, err)
			defer l.Close()
			taken := make(chan int, 1)
			go func() {
				c, err := l.Accept()
				if err == nil {
					defer c.Close()
					_, _ = c.Read(make([]byte, 1024))
					taken <- sendEndless(c, message.start, message.unit)
				}
			}()
			logged := &logBuffer{}
			r := New(rowstore.New(nil).Client(), func() []string { return nil }, logged.logger())
			ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
			defer cancel()
			started := time.Now()
			var page storage.RowPage
			err = r.Call(ctx, l.Addr().String(), methodRange, rangeParams{Table: "t"}, &page)
			assert.Assert(t, errors.Is(err, storage.ErrUnavailable) && !errors.Is(err, storage.ErrNotApplied), "%v", err)
			assert.Assert(t, time.Since(started) < 4*time.Second)
			n := <-taken
			assert.Assert(t, n < takenAtMost, "the host took %d bytes", n)
			logged.checkLogged(t)
		})
	}
}

// Guards against a limit that applies to a connection instead of each message.
func TestMessageLimitAppliesToEachMessage(t *testing.T) {
	store := rowstore.New(nil)
	direct := store.Client()
	_, peer := startRelay(t, store)
	direct.SetFaults(rowstore.Faults{Refuse: true})
	r := New(direct, func() []string { return []string{peer} }, discardLog())
	value := strings.Repeat("x", 48<<10)
	for version := (storage.Version{}); version.Number < maxMessageBytes/(48<<10)*5/4; {
		outcome, err := transact(t, r, version, value)
		assert.NilError(t, err)
		assert.Assert(t, outcome.Applied)
		version = outcome.Version
	}
}
