package access

import (
	"crypto/ed25519"
	"crypto/rand"
	"crypto/x509"
	"encoding/base64"
	"encoding/pem"
	"fmt"
)

// operatorKeyType is the PEM type of an operator key file (PKCS #8).
const operatorKeyType = "PRIVATE KEY"

// NewOperatorKey creates an operator key.
func NewOperatorKey() (ed25519.PrivateKey, error) {
	_, key, err := ed25519.GenerateKey(rand.Reader)
	if err != nil {
		return nil, fmt.Errorf("generate operator key: %w", err)
	}
	return key, nil
}

// PublicKeyText returns the public key in base64, as bundles store it.
func PublicKeyText(key ed25519.PrivateKey) string {
	return base64.StdEncoding.EncodeToString(key.Public().(ed25519.PublicKey))
}

// WriteOperatorKey stores a key as PKCS #8 PEM in a new file with mode 0600.
func WriteOperatorKey(path string, key ed25519.PrivateKey) error {
	der, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		return fmt.Errorf("encode operator key for file %s", quotePath(path))
	}
	return writeSecret(path, pem.EncodeToMemory(&pem.Block{Type: operatorKeyType, Bytes: der}))
}

// ReadOperatorKey reads a key file. It refuses a file that users other than its
// owner may access.
func ReadOperatorKey(path string) (ed25519.PrivateKey, error) {
	raw, err := readSecret(path)
	if err != nil {
		return nil, err
	}
	block, rest := pem.Decode(raw)
	if block == nil || block.Type != operatorKeyType || len(rest) > 0 {
		return nil, fmt.Errorf("file %s does not hold one PEM block of type %q", quotePath(path), operatorKeyType)
	}
	parsed, err := x509.ParsePKCS8PrivateKey(block.Bytes)
	if err != nil { // the cause is omitted, since it may quote the input
		return nil, fmt.Errorf("file %s does not hold a PKCS #8 key", quotePath(path))
	}
	key, ok := parsed.(ed25519.PrivateKey)
	if !ok {
		return nil, fmt.Errorf("file %s holds a key that is not Ed25519", quotePath(path))
	}
	return key, nil
}
