package peer

// Hello tells one daemon about another. A new incarnation on a known address
// shows that the former process has ended.
type Hello struct {
	Incarnation   string `json:"incarnation"`
	Host          string `json:"host"`
	BundleVersion uint64 `json:"bundle_version"`
}
