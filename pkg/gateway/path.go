package gateway

import (
	"errors"
	"net/url"
	"strings"

	"github.com/peppertrail/peppertrail/pkg/bundle"
)

// allPaths is the entry in Service.NonIdempotent that marks every path of the service as
// non-idempotent, so that every call of the service runs at most once.
const allPaths = "*"

var errInvalidPath = errors.New("path: allowed: segments that are not empty, \".\" or \"..\" and contain no encoded slash or backslash")

// cleanPath decodes the escaped path of a service call and adds a leading slash. It
// returns an error for a path that a target might resolve to a different one, since
// that would bypass the prefixes in Service.NonIdempotent.
func cleanPath(escaped string) (string, error) {
	segments := strings.Split(escaped, "/")
	for i, segment := range segments {
		decoded, err := url.PathUnescape(segment)
		if err != nil || strings.ContainsAny(decoded, "/\\\x00") || decoded == "." || decoded == ".." {
			return "", errInvalidPath
		}
		last := i == len(segments)-1
		if decoded == "" && !last {
			return "", errInvalidPath
		}
		segments[i] = decoded
	}
	return "/" + strings.Join(segments, "/"), nil
}

// isNonIdempotent reports whether a prefix in Service.NonIdempotent matches path.
func isNonIdempotent(service bundle.Service, path string) bool {
	for _, prefix := range service.NonIdempotent {
		if prefix == allPaths || strings.HasPrefix(path, "/"+strings.TrimPrefix(prefix, "/")) {
			return true
		}
	}
	return false
}
