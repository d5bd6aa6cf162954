package bundle

import (
	"crypto/ed25519"
	"encoding/base64"
	"fmt"
	"strings"

	"github.com/peppertrail/peppertrail/pkg/access"
)

// Key returns the operator's public key, or an error if it is not an Ed25519
// key in standard base64.
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

// NewOperator returns an operator entry for a public key.
func NewOperator(name string, key ed25519.PublicKey) Operator {
	return Operator{Name: name, PublicKey: encodeKey(key)}
}

// ParseOperators reads bootstrap operators from a setting of the form
// "name:key,name:key", with keys in standard base64.
func ParseOperators(setting string) ([]Operator, error) {
	var operators []Operator
	for part := range strings.SplitSeq(setting, ",") {
		name, key, ok := strings.Cut(strings.TrimSpace(part), ":")
		if !ok {
			return nil, fmt.Errorf("operator %q: expected name:key", part)
		}
		operators = append(operators, Operator{Name: name, PublicKey: key})
	}
	if err := CheckOperators(operators); err != nil {
		return nil, err
	}
	return operators, nil
}
