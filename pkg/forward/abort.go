package forward

import "net/http"

// abortResponse closes the connection to the caller so that the response does not look
// complete, and ends the handler. It does not return. A response in chunks lacks the
// last one. A response to an HTTP/1.0 caller ends with its connection, so the connection
// is reset.
func (c *call) abortResponse() {
	if !c.r.ProtoAtLeast(1, 1) && !c.notRead { // an abandoned response is reset already
		c.resetConnection()
	}
	panic(http.ErrAbortHandler)
}

func (c *call) resetConnection() {
	conn, _, err := http.NewResponseController(c.w).Hijack()
	if err != nil {
		c.h.Log.Warn().Str("request", c.id).Err(err).Msg("Connection of an incomplete response could not be reset. The caller may take the response for complete.")
		return
	}
	if c, ok := conn.(interface{ SetLinger(seconds int) error }); ok {
		_ = c.SetLinger(0) // makes Close reset the connection; fails only if it is closed already
	}
	_ = conn.Close() // the connection is not used again
}
