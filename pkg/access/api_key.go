package access

import (
	"crypto/rand"
	"crypto/sha256"
	"encoding/base64"
	"encoding/hex"
	"fmt"
	"os"
	"strings"
)

const (
	// APIKeyPrefix is the prefix of every API key. It lets secret scanners detect
	// leaked keys.
	APIKeyPrefix = "ppk_"
	// apiKeyBytes is the number of random bytes in an API key. With 256 bits of
	// entropy the key cannot be guessed, so storing its plain SHA-256 is secure.
	apiKeyBytes = 32
)

// NewAPIKey returns a random API key for a customer.
func NewAPIKey() string {
	raw := make([]byte, apiKeyBytes)
	_, _ = rand.Read(raw) // never fails since Go 1.24
	return APIKeyPrefix + base64.RawURLEncoding.EncodeToString(raw)
}

// HashAPIKey returns the SHA-256 of an API key in hex, as bundles store it.
func HashAPIKey(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// WriteAPIKey stores an API key in a new file with mode 0600.
func WriteAPIKey(path, key string) error {
	return writeSecret(path, []byte(key+"\n"))
}

// ReadAPIKey reads an API key from a file. It refuses a file that users other than
// its owner may access.
func ReadAPIKey(path string) (string, error) {
	raw, err := readSecret(path)
	if err != nil {
		return "", err
	}
	key := strings.TrimSpace(string(raw))
	if key == "" || strings.ContainsAny(key, " \t\r\n") {
		return "", fmt.Errorf("file %s does not hold one API key", quotePath(path))
	}
	return key, nil
}

// BearerToken returns the bearer token of an Authorization header, "" if there is
// none.
func BearerToken(header string) string {
	scheme, key, _ := strings.Cut(header, " ")
	if !strings.EqualFold(scheme, "Bearer") {
		return ""
	}
	return strings.TrimSpace(key)
}

// secretMode is the mode of files that hold secrets: only the owner can read and
// write them.
const secretMode os.FileMode = 0o600
