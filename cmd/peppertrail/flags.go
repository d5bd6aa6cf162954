package main

import (
	"fmt"
	"net/url"
	"strconv"
)

// requireFlag returns a usage error if the value of a flag is empty.
func requireFlag(flag, value, allowed string) error {
	if value == "" {
		return newUsageError(flag, value, allowed)
	}
	return nil
}

// parseInteger parses an integer flag and checks its range. Integer flags are
// registered as text so that the error can name the flag and the range.
func parseInteger(flag, text string, low, high int64) (int64, error) {
	n, err := strconv.ParseInt(text, 10, 64)
	if err != nil || n < low || n > high {
		return 0, newUsageError(flag, text, fmt.Sprintf("a whole number from %d to %d", low, high))
	}
	return n, nil
}

// parseBaseURL parses the URL of a daemon listener and returns it without a path.
func parseBaseURL(flag, text string) (string, error) {
	const allowed = "a URL such as https://10.0.0.5:9443, without a path"
	u, err := url.Parse(text)
	if err != nil || u.Host == "" || (u.Scheme != "http" && u.Scheme != "https") {
		return "", newUsageError(flag, text, allowed)
	}
	if (u.Path != "" && u.Path != "/") || u.RawQuery != "" || u.User != nil {
		return "", newUsageError(flag, text, allowed)
	}
	return u.Scheme + "://" + u.Host, nil
}
