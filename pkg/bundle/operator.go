package bundle

import (
	"crypto/ed25519"
	"encoding/base64"
	"fmt"

	"github.com/peppertrail/peppertrail/pkg/access"
)

// Key decodes the operator's public key. It returns an error unless PublicKey is
// an Ed25519 key in standard base64.
func (o Operator) Key() (ed25519.PublicKey, error) {
	raw, err := access.DecodeBase64(o.PublicKey, ed25519.PublicKeySize)
	if err != nil {
		return nil, fmt.Errorf("Ed25519 public key: %w", err)
	}
	return raw, nil
}

func encodeKey(key ed25519.PublicKey) string {
	return base64.StdEncoding.EncodeToString(key)
}

// NewOperator returns an Operator with the given public key.
func NewOperator(name string, key ed25519.PublicKey) Operator {
	return Operator{Name: name, PublicKey: encodeKey(key)}
}
