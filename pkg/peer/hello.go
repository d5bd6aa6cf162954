package peer

import "encoding/json"

// Hello describes a daemon to a peer. A new incarnation on a known address shows
// that the previous incarnation has ended.
type Hello struct {
	Incarnation   string `json:"incarnation"`    // incarnation of the daemon
	Host          string `json:"host"`           // host of the daemon
	BundleVersion uint64 `json:"bundle_version"` // version of the daemon's bundle in force
	// Bundle is the bundle of version BundleVersion, encoded as in bundle.push. It
	// is set only in the reply to a daemon that has a lower version.
	Bundle json.RawMessage `json:"bundle,omitempty"`
}
