package access

import (
	"encoding/base64"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"
)

// Guards against a panic on any header values, against accepting several
// encodings of the same value, and against a request that verifies without the
// operator's key. The seed corpus is in testdata/fuzz.
func FuzzSignatureHeaders(f *testing.F) {
	f.Fuzz(func(t *testing.T, operator, at, nonce, signature, body string) {
		r := httptest.NewRequest(http.MethodPost, "/admin/v1/budgets?x=1", strings.NewReader(body))
		r.Header[http.CanonicalHeaderKey(OperatorHeader)] = []string{operator}
		r.Header[http.CanonicalHeaderKey(TimeHeader)] = []string{at}
		r.Header[http.CanonicalHeaderKey(NonceHeader)] = []string{nonce}
		r.Header[http.CanonicalHeaderKey(SignatureHeader)] = []string{signature}
		if headers, err := parseSignatureHeaders(r.Header); err == nil {
			checkRoundTrip(t, headers, operator, at, nonce, signature)
		}
		if _, err := NewVerifier(clockAt(testNow)).Verify(r, aliceKeySource); err == nil {
			t.Fatal("a request verified without the key")
		}
	})
}

// checkRoundTrip requires that encoding the parsed headers returns the exact
// header values, so that no two header values decode to the same value.
func checkRoundTrip(t *testing.T, headers signatureHeaders, operator, at, nonce, signature string) {
	t.Helper()
	same := headers.operator == operator &&
		strconv.FormatInt(headers.signedAt.UnixMilli(), 10) == at &&
		headers.nonce == nonce &&
		base64.StdEncoding.EncodeToString(headers.signature) == signature
	if !same {
		t.Fatalf("headers %q %q %q %q were parsed as %+v", operator, at, nonce, signature, headers)
	}
	if strings.Contains(headers.operator+headers.nonce, "\n") {
		t.Fatal("a header value contains a line break and can forge a line of the signed message")
	}
}
