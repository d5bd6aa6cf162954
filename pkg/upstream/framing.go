package upstream

import (
	"net/http"
	"slices"
)

// Framing says what marks the end of a response body (RFC 9112, section 6.3). It is
// logged and a label of metrics.
type Framing string

// Framings of response bodies.
const (
	FramedByLength Framing = "length"  // Content-Length, or a response that has no body
	FramedByChunks Framing = "chunked" // the last chunk
	FramedByClose  Framing = "close"   // the end of the connection
)

func framingOf(response *http.Response) Framing {
	switch {
	case slices.Contains(response.TransferEncoding, "chunked"):
		return FramedByChunks
	case response.ContentLength >= 0 || response.Body == http.NoBody:
		return FramedByLength
	}
	return FramedByClose
}
