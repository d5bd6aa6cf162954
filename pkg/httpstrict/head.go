package httpstrict

import (
	"fmt"
	"net/http"
)

// Range of the status codes of HTTP (RFC 9110, section 15).
const (
	minStatus = 100
	maxStatus = 599
)

// CheckHead returns an error if the status code of a response is not one of HTTP.
func CheckHead(response *http.Response) error {
	if response.StatusCode < minStatus || response.StatusCode > maxStatus {
		return fmt.Errorf("invalid status code %03d", response.StatusCode)
	}
	return nil
}
