package platform

import (
	"bytes"
	"crypto/sha256"
	"encoding/json"
	"fmt"
	"net/http"
	"time"
)

// replyWithETag sends v as JSON with an entity tag, or status 304 if the tag equals
// the caller's If-None-Match header.
func replyWithETag(w http.ResponseWriter, r *http.Request, v any) {
	body, err := json.Marshal(v)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("ETag", fmt.Sprintf("%q", fmt.Sprintf("%x", sha256.Sum256(body))))
	http.ServeContent(w, r, "", time.Time{}, bytes.NewReader(body))
}
