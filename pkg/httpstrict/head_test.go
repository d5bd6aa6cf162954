package httpstrict

import (
	"net/http"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against a range of status codes other than that of HTTP.
func TestCheckHeadStatus(t *testing.T) {
	for status := -1; status <= 1000; status++ {
		err := CheckHead(&http.Response{StatusCode: status})
		assert.Equal(t, err == nil, status >= 100 && status <= 599, "status %d: %v", status, err)
	}
}
