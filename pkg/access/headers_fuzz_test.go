package access

import (
	"encoding/base64"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"
)

// Guards against a crash on any header values, against values with two
// readings, and against a request that verifies without the operator's key.
// The seeds are in testdata/fuzz.
func FuzzSignatureHeaders(f *testing.F) {
	f.Fuzz(func(t *testing.T, operator, at, nonce, signature, body string) {
		r := httptest.NewRequest(http.MethodPost, "/admin/v1/budgets?x=1", strings.NewReader(body))
		r.Header[http.CanonicalHeaderKey(OperatorHeader)] = []string{operator}
		r.Header[http.CanonicalHeaderKey(TimeHeader)] = []string{at}
		r.Header[http.CanonicalHeaderKey(NonceHeader)] = []string{nonce}
		r.Header[http.CanonicalHeaderKey(SignatureHeader)] = []string{signature}
		if head, err := parseHead(r.Header); err == nil {
			checkReading(t, head, operator, at, nonce, signature)
		}
		if _, err := NewVerifier(clockAt(testNow)).Verify(r, aliceOnly); err == nil {
			t.Fatal("a request verified without the key")
		}
	})
}

// checkReading requires that a head gives back the exact header values, so
// that no two values of a header mean the same.
func checkReading(t *testing.T, head requestHead, operator, at, nonce, signature string) {
	t.Helper()
	same := head.operator == operator &&
		strconv.FormatInt(head.at.UnixMilli(), 10) == at &&
		head.nonce == nonce &&
		base64.StdEncoding.EncodeToString(head.signature) == signature
	if !same {
		t.Fatalf("headers %q %q %q %q were read as %+v", operator, at, nonce, signature, head)
	}
	if strings.Contains(head.operator+head.nonce, "\n") {
		t.Fatal("a header can forge a line of the signed message")
	}
}
