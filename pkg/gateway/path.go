package gateway

import (
	"errors"
	"net/url"
	"strings"

	"github.com/peppertrail/peppertrail/pkg/bundle"
)

// allCalls in Service.NonIdempotent makes every call of the service run at most once.
const allPaths = "*"

var errInvalidPath = errors.New("path: allowed: segments that are not empty, \".\" or \"..\" and contain no encoded slash or backslash")

// cleanPath returns the decoded path of a service call from its escaped form,
// with a leading slash. It refuses paths that a target might resolve to
// another one, which would bypass the non-idempotent prefixes.
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

// runsOnce reports whether the service marks a path as non-idempotent.
func isNonIdempotent(service bundle.Service, path string) bool {
	for _, prefix := range service.NonIdempotent {
		if prefix == allPaths || strings.HasPrefix(path, "/"+strings.TrimPrefix(prefix, "/")) {
			return true
		}
	}
	return false
}
