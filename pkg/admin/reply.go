package admin

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"
)

func writeJSON(w http.ResponseWriter, status int, body any) {
	raw, err := json.Marshal(body)
	if err != nil {
		status = http.StatusInternalServerError
		raw = []byte(`{"error":{"code":"internal","message":"the reply cannot be encoded"}}`)
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(append(raw, '\n')) // a write error means that the operator disconnected
}

func writeError(w http.ResponseWriter, e *Error) {
	if e.RetryAfter > 0 {
		seconds := int((e.RetryAfter + time.Second - 1) / time.Second)
		w.Header().Set("Retry-After", strconv.Itoa(seconds))
	}
	writeJSON(w, e.Status(), errorReply{Error: e})
}

// decodeBody decodes a JSON request body into body, which is a pointer. It rejects
// unknown fields and trailing data.
func decodeBody(r *http.Request, body any) error {
	raw, err := io.ReadAll(r.Body)
	if err != nil {
		return errorf(BadRequest, "read request body: %v", err)
	}
	dec := json.NewDecoder(bytes.NewReader(raw))
	dec.DisallowUnknownFields()
	if err := dec.Decode(body); err != nil {
		return errorf(BadRequest, "request body: %v", err)
	}
	if _, err := dec.Token(); !errors.Is(err, io.EOF) {
		return errorf(BadRequest, "request body: data after the JSON document")
	}
	return nil
}
