package process

import (
	"encoding/json"
	"net/http"
)

// Refusal is the JSON body of an error answer.
type Refusal struct {
	Error string `json:"error"`
	Code  string `json:"code,omitempty"` // machine-readable cause, where one status has several
}

// Reply writes body as JSON with the given status. A failed write means that
// the client has gone, which needs no answer.
func Reply(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

// Refuse writes an error answer.
func Refuse(w http.ResponseWriter, status int, message string) {
	Reply(w, status, Refusal{Error: message})
}
