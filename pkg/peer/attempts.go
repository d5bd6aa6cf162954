package peer

import "context"

// AttemptsRequest asks a daemon for its open attempts on the grants of a holder
// that is presumed to have failed.
type AttemptsRequest struct {
	Holder string `json:"holder"` // incarnation of the holder
}

// AttemptsReply is a daemon's reply to an AttemptsRequest.
type AttemptsReply struct {
	HomeIncarnation    string   `json:"home"`             // incarnation of the replying daemon's own authority
	FormerIncarnations []string `json:"former,omitempty"` // earlier incarnations of the same process; a daemon that was fenced has some
	Open               int      `json:"open"`             // number of the daemon's attempts on the holder's grants that are not known to be settled
}

// Attempts sends an AttemptsRequest to the peer. It returns the errors of Reserve.
func (c *Client) Attempts(ctx context.Context, req AttemptsRequest) (AttemptsReply, error) {
	var reply AttemptsReply
	err := c.call(ctx, methodAttempts, req, &reply)
	return reply, err
}
