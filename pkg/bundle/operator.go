package bundle

import (
	"crypto/ed25519"
	"encoding/base64"
	"errors"
	"fmt"
	"strings"
)

// Key returns the operator's public key, or an error if it is not an Ed25519
// key in standard base64.
func (o Operator) Key() (ed25519.PublicKey, error) {
	raw, err := base64.StdEncoding.Strict().DecodeString(o.PublicKey)
	if err != nil || len(raw) != ed25519.PublicKeySize {
		return nil, errors.New("not an Ed25519 public key in standard base64")
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
