package peer

import "context"

// AttemptsRequest asks a daemon about grants of a holder that is taken for dead.
type AttemptsRequest struct {
	Holder string `json:"holder"` // incarnation
}

// AttemptsReply is a daemon's testimony about a holder.
type AttemptsReply struct {
	Home   string   `json:"home"`             // incarnation that the daemon's own authority acts for
	Former []string `json:"former,omitempty"` // incarnations that the process had before, as a fenced daemon has
	Open   int      `json:"open"`             // its attempts on the holder's grants that are not known to be settled
}

// Attempts asks the peer, with the errors of Reserve.
func (c *Client) Attempts(ctx context.Context, req AttemptsRequest) (AttemptsReply, error) {
	var reply AttemptsReply
	err := c.call(ctx, methodAttempts, req, &reply)
	return reply, err
}
