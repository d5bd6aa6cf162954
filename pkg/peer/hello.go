package peer

import "encoding/json"

// Hello describes a daemon to a peer. A new incarnation on a known address shows
// that the previous process has ended.
type Hello struct {
	Incarnation   string `json:"incarnation"`
	Host          string `json:"host"`
	BundleVersion uint64 `json:"bundle_version"`
	// Bundle is the bundle of version BundleVersion, encoded as in bundle.push. It
	// is set only in the reply to a daemon that has a lower version.
	Bundle json.RawMessage `json:"bundle,omitempty"`
}
