package peer

import "encoding/json"

// Hello tells one daemon about another. A new incarnation on a known address
// shows that the former process has ended.
type Hello struct {
	Incarnation   string `json:"incarnation"`
	Host          string `json:"host"`
	BundleVersion uint64 `json:"bundle_version"`
	// Bundle is the version held, in the form of bundle.push. Only the reply to
	// a daemon that holds a lower one carries it.
	Bundle json.RawMessage `json:"bundle,omitempty"`
}
