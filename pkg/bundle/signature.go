package bundle

import (
	"crypto/ed25519"
	"crypto/sha256"
	"encoding/base64"
)

// signDomain is the domain separation prefix of sign-offs. It keeps them distinct
// from every other use of an operator key.
const signDomain = "peppertrail bundle sign-off v1\x00"

// Signature is the sign-off of one bundle by an operator.
type Signature struct {
	Operator string `json:"operator"`
	Value    string `json:"signature"` // Ed25519, base64
}

// Sign signs the digest of a bundle with an operator's private key.
func Sign(b Bundle, operator string, key ed25519.PrivateKey) (Signature, error) {
	header, err := versionHeaderOf(b, nil)
	if err != nil {
		return Signature{}, err
	}
	raw := ed25519.Sign(key, signedMessage(header.digest()))
	return Signature{Operator: operator, Value: base64.StdEncoding.EncodeToString(raw)}, nil
}

func signedMessage(digest [sha256.Size]byte) []byte {
	return append([]byte(signDomain), digest[:]...)
}
