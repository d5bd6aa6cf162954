package process

import (
	"encoding/json"
	"net/http"
)

// ErrorBody is the JSON body of an error response.
type ErrorBody struct {
	Error string `json:"error"`
	Code  string `json:"code,omitempty"` // machine-readable cause; empty where the HTTP status determines the cause
}

// WriteJSON writes body as JSON with the given status. Write errors are ignored:
// they mean that the client has disconnected.
func WriteJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

// WriteError writes an error response without a code.
func WriteError(w http.ResponseWriter, status int, message string) {
	WriteJSON(w, status, ErrorBody{Error: message})
}
