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

// requestDomain separates request signatures from other uses of an operator key.
const requestDomain = "peppertrail admin request v1"

var (
	operatorPattern = regexp.MustCompile(`^[a-zA-Z0-9._-]{1,64}$`)
	noncePattern    = regexp.MustCompile(`^[0-9a-f]{32}$`)
)

// requestHead is the content of the signature headers.
type requestHead struct {
	operator  string
	at        time.Time
	nonce     string
	signature []byte
}

// parseHead reads the signature headers. Each must occur exactly once.
func parseHead(h http.Header) (requestHead, error) {
	operator, err := single(h, OperatorHeader)
	if err != nil {
		return requestHead{}, err
	}
	if !operatorPattern.MatchString(operator) {
		return requestHead{}, refuse("header %s must be 1 to %d characters out of a-z A-Z 0-9 . _ -", OperatorHeader, maxOperatorChars)
	}
	at, err := parseTime(h)
	if err != nil {
		return requestHead{}, err
	}
	nonce, err := single(h, NonceHeader)
	if err != nil {
		return requestHead{}, err
	}
	if !noncePattern.MatchString(nonce) {
		return requestHead{}, refuse("header %s must be %d lower-case hex digits", NonceHeader, 2*nonceBytes)
	}
	signature, err := parseSignature(h)
	if err != nil {
		return requestHead{}, err
	}
	return requestHead{operator: operator, at: at, nonce: nonce, signature: signature}, nil
}

func parseTime(h http.Header) (time.Time, error) {
	text, err := single(h, TimeHeader)
	if err != nil {
		return time.Time{}, err
	}
	milli, err := strconv.ParseInt(text, 10, 64)
	if err != nil || milli <= 0 || len(text) > maxTimeChars || text != strconv.FormatInt(milli, 10) {
		return time.Time{}, refuse("header %s must be a Unix time in milliseconds", TimeHeader)
	}
	return time.UnixMilli(milli), nil
}

func parseSignature(h http.Header) ([]byte, error) {
	text, err := single(h, SignatureHeader)
	if err != nil {
		return nil, err
	}
	signature, err := DecodeBase64(text, ed25519.SignatureSize)
	if err != nil {
		return nil, refuse("header %s must be an Ed25519 signature in base64", SignatureHeader)
	}
	return signature, nil
}

func single(h http.Header, name string) (string, error) {
	values := h.Values(name)
	if len(values) != 1 {
		return "", refuse("header %s must occur once, found %d times", name, len(values))
	}
	return values[0], nil
}

// message is what the operator signs. The host is left out because a load
// balancer between operator and daemon may rewrite it.
func (h requestHead) message(method, target string, body []byte) []byte {
	sum := sha256.Sum256(body)
	return []byte(strings.Join([]string{
		requestDomain,
		h.operator,
		method,
		target,
		hex.EncodeToString(sum[:]),
		strconv.FormatInt(h.at.UnixMilli(), 10),
		h.nonce,
	}, "\n"))
}
