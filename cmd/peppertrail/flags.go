package main

import (
	"fmt"
	"net/url"
	"strconv"
)

// required refuses an empty flag.
func required(flag, value, allowed string) error {
	if value == "" {
		return usage(flag, value, allowed)
	}
	return nil
}

// wholeNumber reads an integer flag. Flags are kept as text so that the error
// can name the flag and the range.
func wholeNumber(flag, text string, low, high int64) (int64, error) {
	n, err := strconv.ParseInt(text, 10, 64)
	if err != nil || n < low || n > high {
		return 0, usage(flag, text, fmt.Sprintf("a whole number from %d to %d", low, high))
	}
	return n, nil
}

// baseURL reads the URL of a daemon.
func baseURL(flag, text string) (string, error) {
	const allowed = "a URL such as https://10.0.0.5:9443, without a path"
	u, err := url.Parse(text)
	if err != nil || u.Host == "" || (u.Scheme != "http" && u.Scheme != "https") {
		return "", usage(flag, text, allowed)
	}
	if (u.Path != "" && u.Path != "/") || u.RawQuery != "" || u.User != nil {
		return "", usage(flag, text, allowed)
	}
	return u.Scheme + "://" + u.Host, nil
}
