package engine

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
)

const (
	// codeStreamExists is the error code for a stream id that the target
	// accepted earlier.
	codeStreamExists = "stream_exists"
	// codeNotAccepted is the error code for a call that a plain service did not
	// run. Without it, an error status is the service's response to a call that
	// ran.
	codeNotAccepted = "not_accepted"
	// maxRefusalBytes limits how much of an error response is read.
	maxRefusalBytes = 4096
)

// refusal is the JSON body of an error response.
type refusal struct {
	Error json.RawMessage `json:"error"`
	Code  string          `json:"code"`
}

// readRefusal returns the code and the text of an error response. If the body is
// not such a JSON object, the code is empty and the text is the quoted body.
func readRefusal(body io.Reader) (code, text string) {
	data, _ := io.ReadAll(io.LimitReader(body, maxRefusalBytes)) // a read error is ignored: the status alone is sufficient
	var r refusal
	if json.Unmarshal(data, &r) != nil {
		return "", fmt.Sprintf("%.200q", data)
	}
	return r.Code, fmt.Sprintf("%.200s", r.Error)
}

// isRefusalStatus reports whether targets use status to refuse work before they
// accept it.
func isRefusalStatus(status int) bool {
	switch status {
	case http.StatusConflict, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}
