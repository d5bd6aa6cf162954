package bundle

import "strconv"

// HeadKey is the table key of the version in force.
const HeadKey = "bundle/current"

// VersionKey returns the table key of an accepted version.
func VersionKey(version uint64) string {
	return "bundle/v/" + strconv.FormatUint(version, 10)
}

// Head is the table row that names the version in force, at HeadKey.
type Head struct {
	Version uint64 `json:"version"`
	Digest  string `json:"digest"` // SHA-256, hex
}
