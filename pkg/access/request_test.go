package access

import (
	"bytes"
	"crypto/ed25519"
	"crypto/sha256"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var testNow = time.Unix(1_800_000_000, 0)

func clockAt(t time.Time) func() time.Time { return func() time.Time { return t } }

func testKey(name string) ed25519.PrivateKey {
	seed := sha256.Sum256([]byte(name))
	return ed25519.NewKeyFromSeed(seed[:])
}

// aliceKeySource is a KeySource that knows only the operator alice.
func aliceKeySource(name string) (ed25519.PublicKey, bool) {
	if name != "alice" {
		return nil, false
	}
	return testKey("alice").Public().(ed25519.PublicKey), true
}

func signedRequest(signer Signer, body string) *http.Request {
	r := httptest.NewRequest("POST", "/admin/v1/budgets/b%2F1/topups?x=1&y=2", strings.NewReader(body))
	signer.Sign(r, []byte(body))
	return r
}

func alice() Signer {
	return Signer{Operator: "alice", Key: testKey("alice"), Now: clockAt(testNow)}
}

// Guards against refusing a valid request, and against consuming the body before
// the handler reads it.
func TestVerifyAcceptsValidRequest(t *testing.T) {
	v := NewVerifier(clockAt(testNow))
	r := signedRequest(alice(), `{"tokens":5}`)
	operator, err := v.Verify(r, aliceKeySource)
	assert.NilError(t, err)
	assert.Equal(t, operator, "alice")
	body, err := io.ReadAll(r.Body)
	assert.NilError(t, err)
	assert.Equal(t, string(body), `{"tokens":5}`)
}

// Guards against a signature that covers less than the whole request.
func TestVerifyRefusesModifiedRequests(t *testing.T) {
	changes := map[string]func(*http.Request){
		"method": func(r *http.Request) { r.Method = "PUT" },
		"path": func(r *http.Request) {
			r.URL.Path, r.URL.RawPath = "/admin/v1/budgets/b/2/topups", "/admin/v1/budgets/b%2F2/topups"
		},
		"query":     func(r *http.Request) { r.URL.RawQuery = "x=2&y=2" },
		"body":      func(r *http.Request) { r.Body = io.NopCloser(strings.NewReader(`{"tokens":6}`)) },
		"no body":   func(r *http.Request) { r.Body = nil },
		"time":      func(r *http.Request) { r.Header.Set(TimeHeader, strconv.FormatInt(testNow.UnixMilli()+1, 10)) },
		"nonce":     func(r *http.Request) { r.Header.Set(NonceHeader, strings.Repeat("0", 32)) },
		"operator":  func(r *http.Request) { r.Header.Set(OperatorHeader, "bob") },
		"signature": func(r *http.Request) { r.Header.Set(SignatureHeader, strings.Repeat("A", 86)+"==") },
		"missing":   func(r *http.Request) { r.Header.Del(SignatureHeader) },
		"twice":     func(r *http.Request) { r.Header.Add(NonceHeader, r.Header.Get(NonceHeader)) },
	}
	for name, change := range changes {
		r := signedRequest(alice(), `{"tokens":5}`)
		change(r)
		_, err := NewVerifier(clockAt(testNow)).Verify(r, aliceKeySource)
		var refused *AuthError
		assert.Assert(t, errors.As(err, &refused), "%s: %v", name, err)
	}
}

// Guards against accepting a known operator name with another key's signature.
func TestVerifyRefusesWrongKey(t *testing.T) {
	signer := alice()
	signer.Key = testKey("mallory")
	_, err := NewVerifier(clockAt(testNow)).Verify(signedRequest(signer, ""), aliceKeySource)
	assert.ErrorContains(t, err, "does not match")
}

// Guards against accepting a captured request again at any time within its
// signature window.
func TestVerifyRefusesReplay(t *testing.T) {
	now := testNow.Add(-SignatureWindow)
	v := NewVerifier(func() time.Time { return now })
	r := signedRequest(alice(), "x")
	_, err := v.Verify(r, aliceKeySource)
	assert.NilError(t, err)
	for ; !now.After(testNow.Add(SignatureWindow)); now = now.Add(20 * time.Second) {
		r.Body = io.NopCloser(strings.NewReader("x"))
		_, err = v.Verify(r, aliceKeySource)
		assert.ErrorContains(t, err, "received before", "at %s", now)
	}
	r.Body = io.NopCloser(strings.NewReader("x"))
	_, err = v.Verify(r, aliceKeySource)
	assert.ErrorContains(t, err, "set the clock")
}

// Guards against a signature window that does not limit past or future times.
func TestVerifyTimeWindow(t *testing.T) {
	cases := map[time.Duration]bool{
		-SignatureWindow - time.Millisecond: false,
		-SignatureWindow:                    true,
		SignatureWindow:                     true,
		SignatureWindow + time.Millisecond:  false,
	}
	for skew, ok := range cases {
		v := NewVerifier(clockAt(testNow.Add(skew)))
		_, err := v.Verify(signedRequest(alice(), ""), aliceKeySource)
		assert.Equal(t, err == nil, ok, "%s: %v", skew, err)
	}
}

// Guards against requests with invalid signatures filling the replay cache, after
// which every operator request would be refused.
func TestReplayCacheHoldsValidRequestsOnly(t *testing.T) {
	v := NewVerifier(clockAt(testNow))
	signer := alice()
	signer.Key = testKey("mallory")
	for range 10 {
		_, err := v.Verify(signedRequest(signer, ""), aliceKeySource)
		assert.Assert(t, err != nil)
	}
	assert.Equal(t, len(v.replay.expires), 0)
}

// Guards against a replay cache that grows without limit.
func TestReplayCacheDropsExpiredNonces(t *testing.T) {
	c := newReplayCache()
	assert.Assert(t, c.add("a", testNow, testNow.Add(time.Minute)))
	assert.Assert(t, c.add("b", testNow.Add(2*time.Minute), testNow.Add(3*time.Minute)))
	assert.Equal(t, len(c.expires), 1)
}

// Guards against memory exhaustion by a large body.
func TestVerifyRefusesLargeBody(t *testing.T) {
	body := make([]byte, MaxBody+1)
	r := httptest.NewRequest("POST", "/admin/v1/bundles", bytes.NewReader(body))
	alice().Sign(r, body)
	_, err := NewVerifier(clockAt(testNow)).Verify(r, aliceKeySource)
	assert.ErrorContains(t, err, "larger than")
}
