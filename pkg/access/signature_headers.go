package access

import (
	"crypto/ed25519"
	"crypto/sha256"
	"encoding/hex"
	"net/http"
	"regexp"
	"strconv"
	"strings"
	"time"
)

// requestSignatureDomain separates request signatures from other signatures by the
// same operator key.
const requestSignatureDomain = "peppertrail admin request v1"

var (
	operatorPattern = regexp.MustCompile(`^[a-zA-Z0-9._-]{1,64}$`)
	noncePattern    = regexp.MustCompile(`^[0-9a-f]{32}$`)
)

// signatureHeaders holds the parsed signature headers of a request.
type signatureHeaders struct {
	operator  string
	signedAt  time.Time
	nonce     string
	signature []byte
}

// parseSignatureHeaders parses the signature headers. Each must occur exactly once.
func parseSignatureHeaders(h http.Header) (signatureHeaders, error) {
	operator, err := singleHeader(h, OperatorHeader)
	if err != nil {
		return signatureHeaders{}, err
	}
	if !operatorPattern.MatchString(operator) {
		return signatureHeaders{}, newAuthError("header %s must be 1 to %d characters out of a-z A-Z 0-9 . _ -", OperatorHeader, maxOperatorChars)
	}
	at, err := parseTime(h)
	if err != nil {
		return signatureHeaders{}, err
	}
	nonce, err := singleHeader(h, NonceHeader)
	if err != nil {
		return signatureHeaders{}, err
	}
	if !noncePattern.MatchString(nonce) {
		return signatureHeaders{}, newAuthError("header %s must be %d lower-case hex digits", NonceHeader, 2*nonceBytes)
	}
	signature, err := parseSignature(h)
	if err != nil {
		return signatureHeaders{}, err
	}
	return signatureHeaders{operator: operator, signedAt: at, nonce: nonce, signature: signature}, nil
}

func parseTime(h http.Header) (time.Time, error) {
	text, err := singleHeader(h, TimeHeader)
	if err != nil {
		return time.Time{}, err
	}
	milli, err := strconv.ParseInt(text, 10, 64)
	if err != nil || milli <= 0 || len(text) > maxTimeChars || text != strconv.FormatInt(milli, 10) {
		return time.Time{}, newAuthError("header %s must be a Unix time in milliseconds", TimeHeader)
	}
	return time.UnixMilli(milli), nil
}

func parseSignature(h http.Header) ([]byte, error) {
	text, err := singleHeader(h, SignatureHeader)
	if err != nil {
		return nil, err
	}
	signature, err := DecodeBase64(text, ed25519.SignatureSize)
	if err != nil {
		return nil, newAuthError("header %s must be an Ed25519 signature in base64", SignatureHeader)
	}
	return signature, nil
}

func singleHeader(h http.Header, name string) (string, error) {
	values := h.Values(name)
	if len(values) != 1 {
		return "", newAuthError("header %s must occur once, found %d times", name, len(values))
	}
	return values[0], nil
}

// message returns the bytes that the operator signs. They do not include the host,
// because a load balancer between operator and daemon may rewrite it.
func (h signatureHeaders) message(method, target string, body []byte) []byte {
	sum := sha256.Sum256(body)
	return []byte(strings.Join([]string{
		requestSignatureDomain,
		h.operator,
		method,
		target,
		hex.EncodeToString(sum[:]),
		strconv.FormatInt(h.signedAt.UnixMilli(), 10),
		h.nonce,
	}, "\n"))
}
