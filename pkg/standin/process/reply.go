package process

import (
	"encoding/json"
	"net/http"
)

// Refusal is the JSON body of an error response.
type Refusal struct {
	Error string `json:"error"`
	Code  string `json:"code,omitempty"` // machine-readable cause; empty where the HTTP status determines the cause
}

// Reply writes body as JSON with the given status. Write errors are ignored:
// they mean that the client has disconnected.
func Reply(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

// Refuse writes an error response without a code.
func Refuse(w http.ResponseWriter, status int, message string) {
	Reply(w, status, Refusal{Error: message})
}
