package access

import (
	"crypto/ed25519"
	"crypto/rand"
	"encoding/base64"
	"encoding/hex"
	"net/http"
	"strconv"
	"time"
)

// Signer signs operator requests.
type Signer struct {
	Operator string             // name of the operator
	Key      ed25519.PrivateKey // private key of the operator
	Now      func() time.Time   // clock; nil selects time.Now
}

// Sign sets the signature headers of a request with this body. A request must be
// signed again before it is sent again, since each nonce is accepted once.
func (s Signer) Sign(r *http.Request, body []byte) {
	now := time.Now
	if s.Now != nil {
		now = s.Now
	}
	headers := signatureHeaders{operator: s.Operator, signedAt: now(), nonce: newNonce()}
	signature := ed25519.Sign(s.Key, headers.message(r.Method, r.URL.RequestURI(), body))
	r.Header.Set(OperatorHeader, headers.operator)
	r.Header.Set(TimeHeader, strconv.FormatInt(headers.signedAt.UnixMilli(), 10))
	r.Header.Set(NonceHeader, headers.nonce)
	r.Header.Set(SignatureHeader, base64.StdEncoding.EncodeToString(signature))
}

func newNonce() string {
	raw := make([]byte, nonceBytes)
	_, _ = rand.Read(raw) // never fails since Go 1.24
	return hex.EncodeToString(raw)
}
