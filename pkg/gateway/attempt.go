package gateway

import (
	"strings"

	"github.com/peppertrail/peppertrail/pkg/home"
	"github.com/peppertrail/peppertrail/pkg/target"
)

// attempt is one dispatch of a request, or one attachment to a stream that
// was dispatched before.
type attempt struct {
	number     int // from 1
	target     target.Target
	stream     string
	grant      string
	entry      string // incarnation of this daemon at the reservation
	attached   bool
	reading    bool  // counted as a reader of the stream
	nextIndex  int   // index of the next event
	tokens     int64 // completion tokens in the events so far
	resumes    int   // resumes of this attempt
	settlement home.SettleRequest
}

// newAttempt returns the attempt of a granted or attached reservation.
func newAttempt(number int, reply home.ReserveReply, t target.Target, entry string) *attempt {
	a := &attempt{
		number: number, target: t, stream: reply.Stream, grant: reply.Grant, entry: entry,
		attached: reply.Outcome == home.Attach,
	}
	if a.grant == "" {
		a.grant = grantOfStream(a.stream)
	}
	return a
}

// grantOf returns the grant of a stream id, which has the form "<grant>.<n>".
func grantOfStream(stream string) string {
	dot := strings.LastIndexByte(stream, '.')
	if dot < 0 {
		return ""
	}
	return stream[:dot]
}
