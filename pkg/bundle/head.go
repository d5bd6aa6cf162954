package bundle

import "strconv"

// HeadKey is the table key of the Head row.
const HeadKey = "bundle/current"

// VersionKey returns the table key of an accepted version.
func VersionKey(version uint64) string {
	return "bundle/v/" + strconv.FormatUint(version, 10)
}

// Head is the table row that identifies the version in force. Its key is HeadKey.
type Head struct {
	Version uint64 `json:"version"`
	Digest  string `json:"digest"` // Digest of the bundle, SHA-256 in hex
}
