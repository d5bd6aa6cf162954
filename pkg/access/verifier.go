package access

import (
	"bytes"
	"crypto/ed25519"
	"fmt"
	"io"
	"net/http"
	"time"
)

// KeySource returns the public key of an operator, or false for an unknown name.
type KeySource func(operator string) (ed25519.PublicKey, bool)

// Verifier authenticates operator requests. It is safe for concurrent use.
type Verifier struct {
	now    func() time.Time
	replay *replayCache
}

// NewVerifier returns a verifier with an empty replay cache. A nil clock selects
// time.Now.
func NewVerifier(now func() time.Time) *Verifier {
	if now == nil {
		now = time.Now
	}
	return &Verifier{now: now, replay: newReplayCache()}
}

// Verify returns the name of the operator who signed a request. It reads the body
// and replaces it by a copy. It returns an *AuthError for a request that must be
// refused.
func (v *Verifier) Verify(r *http.Request, keys KeySource) (operator string, err error) {
	headers, err := parseSignatureHeaders(r.Header)
	if err != nil {
		return "", err
	}
	now := v.now()
	if err := checkWindow(headers.signedAt, now); err != nil {
		return "", err
	}
	key, ok := keys(headers.operator)
	if !ok {
		return "", newAuthError("%q is not an operator of the bundle in force", headers.operator)
	}
	body, err := readAndRestoreBody(r)
	if err != nil {
		return "", err
	}
	if !ed25519.Verify(key, headers.message(r.Method, r.URL.RequestURI(), body), headers.signature) {
		return "", newAuthError("signature of operator %q does not match the request: check --key", headers.operator)
	}
	if !v.replay.add(headers.operator+"/"+headers.nonce, now, headers.signedAt.Add(SignatureWindow)) {
		return "", newAuthError("request was received before: sign it anew")
	}
	return headers.operator, nil
}

func checkWindow(signedAt, now time.Time) error {
	skew := now.Sub(signedAt)
	if skew.Abs() > SignatureWindow {
		return newAuthError("request time is %s away from the daemon's clock, allowed are %s: set the clock", skew.Abs().Round(time.Second), SignatureWindow)
	}
	return nil
}

// readAndRestoreBody reads the body and replaces it by a copy.
func readAndRestoreBody(r *http.Request) ([]byte, error) {
	if r.Body == nil {
		return nil, nil
	}
	body, err := io.ReadAll(io.LimitReader(r.Body, MaxBody+1))
	if err != nil {
		return nil, fmt.Errorf("read request body: %w", err)
	}
	if len(body) > MaxBody {
		return nil, newAuthError("request body is larger than %d bytes", MaxBody)
	}
	r.Body = io.NopCloser(bytes.NewReader(body))
	return body, nil
}
