package slopes

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
)

// answerWithMaxTokens makes an engine stand-in answer with as many tokens as the
// request allows. Without a length hint it stops after 32 tokens, and the gateway
// forwards no hint.
func answerWithMaxTokens(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method != http.MethodPost {
			next.ServeHTTP(w, r)
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		r.Body = io.NopCloser(bytes.NewReader(addLengthHint(body)))
		r.ContentLength = -1
		next.ServeHTTP(w, r)
	})
}

// addLengthHint copies max_tokens of a request to x_tokens, the stand-in's length
// hint.
func addLengthHint(body []byte) []byte {
	var members map[string]json.RawMessage
	if json.Unmarshal(body, &members) != nil || members["max_tokens"] == nil {
		return body // the stand-in refuses bodies that cannot be decoded
	}
	members["x_tokens"] = members["max_tokens"]
	withHint, err := json.Marshal(members)
	if err != nil {
		return body
	}
	return withHint
}
