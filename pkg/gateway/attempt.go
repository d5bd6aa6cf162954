package gateway

import (
	"strings"

	"github.com/peppertrail/peppertrail/pkg/home"
	"github.com/peppertrail/peppertrail/pkg/target"
)

// attempt is one dispatch of a request to a target, or one attachment to a stream that
// was dispatched earlier.
type attempt struct {
	number      int // starts at 1
	target      target.Target
	stream      string // stream id
	grant       string // grant id; empty if unknown
	incarnation string // incarnation of this daemon when the attempt was reserved
	attached    bool
	reading     bool               // whether the attempt is counted in streamReaders
	nextIndex   int                // index of the next event to send
	tokens      int64              // completion tokens in the events received so far
	resumes     int                // number of times the stream was reopened after a broken connection
	settlement  home.SettleRequest // last settlement of the attempt if it failed; zero before
}

// newAttempt returns the attempt for a reservation whose outcome is Granted or Attach.
func newAttempt(number int, reply home.ReserveReply, t target.Target, incarnation string) *attempt {
	a := &attempt{
		number: number, target: t, stream: reply.Stream, grant: reply.Grant, incarnation: incarnation,
		attached: reply.Outcome == home.Attach,
	}
	if a.grant == "" {
		a.grant = grantOfStream(a.stream)
	}
	return a
}

// grantOfStream returns the grant id in a stream id of the form "<grant>.<n>", or ""
// if the stream id has another form.
func grantOfStream(stream string) string {
	dot := strings.LastIndexByte(stream, '.')
	if dot < 0 {
		return ""
	}
	return stream[:dot]
}
