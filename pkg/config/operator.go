package config

import (
	"crypto/ed25519"
	"encoding/base64"
	"errors"
	"strings"
)

// errOperator reports a value that is not of the form NAME=KEY.
var errOperator = errors.New("not an operator")

// Operator is a bootstrap operator, who may sign the first bundle.
type Operator struct {
	Name      string
	PublicKey ed25519.PublicKey
}

// parseOperator parses NAME=KEY, where KEY is an Ed25519 public key in standard base64.
func parseOperator(value string) (Operator, error) {
	name, encoded, found := strings.Cut(value, "=")
	if !found || !namePattern.MatchString(name) {
		return Operator{}, errOperator
	}
	key, err := base64.StdEncoding.DecodeString(encoded)
	if err != nil || len(key) != ed25519.PublicKeySize {
		return Operator{}, errOperator
	}
	return Operator{Name: name, PublicKey: key}, nil
}
