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
		if head, err := parseSignatureHeaders(r.Header); err == nil {
			checkRoundTrip(t, head, operator, at, nonce, signature)
		}
		if _, err := NewVerifier(clockAt(testNow)).Verify(r, aliceKeySource); err == nil {
			t.Fatal("a request verified without the key")
		}
	})
}

// checkRoundTrip requires that encoding the parsed headers returns the exact
// header values, so that no two header values decode to the same value.
func checkRoundTrip(t *testing.T, head signatureHeaders, operator, at, nonce, signature string) {
	t.Helper()
	same := head.operator == operator &&
		strconv.FormatInt(head.signedAt.UnixMilli(), 10) == at &&
		head.nonce == nonce &&
		base64.StdEncoding.EncodeToString(head.signature) == signature
	if !same {
		t.Fatalf("headers %q %q %q %q were parsed as %+v", operator, at, nonce, signature, head)
	}
	if strings.Contains(head.operator+head.nonce, "\n") {
		t.Fatal("a header value contains a line break and can forge a line of the signed message")
	}
}
