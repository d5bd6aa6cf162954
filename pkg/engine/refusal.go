package engine

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
)

const (
	// codeStreamExists marks the refusal of a stream id that the target has
	// accepted before.
	codeStreamExists = "stream_exists"
	// codeNotAccepted marks the refusal of a call that a plain service did not
	// run. Without it, an error status is the service's answer to a call that ran.
	codeNotAccepted = "not_accepted"
	// maxRefusal bounds the part of an error answer that is read, in bytes.
	maxRefusal = 4096
)

// refusal is the JSON body of an error answer.
type refusal struct {
	Error json.RawMessage `json:"error"`
	Code  string          `json:"code"`
}

// readRefusal reads the code and the text of an error answer. A body in
// another form has no code.
func readRefusal(body io.Reader) (code, text string) {
	data, _ := io.ReadAll(io.LimitReader(body, maxRefusal)) // the status alone is sufficient
	var r refusal
	if json.Unmarshal(data, &r) != nil {
		return "", fmt.Sprintf("%.200q", data)
	}
	return r.Code, fmt.Sprintf("%.200s", r.Error)
}

// refusesWork reports whether a target answers with status before it accepts work.
func refusesWork(status int) bool {
	switch status {
	case http.StatusConflict, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}
