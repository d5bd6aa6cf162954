package bundle

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
)

// Encode returns the canonical JSON of a bundle: the normalized form without
// whitespace, with fields in declaration order. Equal bundles have equal
// encodings.
func Encode(b Bundle) ([]byte, error) {
	raw, err := json.Marshal(Normalized(b))
	if err != nil {
		return nil, fmt.Errorf("encode bundle: %w", err)
	}
	return raw, nil
}

// Digest returns the SHA-256, in hex, that identifies a bundle. It covers the
// version, the trust and the canonical encoding.
func Digest(b Bundle) (string, error) {
	header, err := versionHeaderOf(b, nil)
	if err != nil {
		return "", err
	}
	sum := header.digest()
	return hex.EncodeToString(sum[:]), nil
}

// bodyDigest returns the SHA-256 of the canonical encoding.
func bodyDigest(b Bundle) ([sha256.Size]byte, error) {
	raw, err := Encode(b)
	if err != nil {
		return [sha256.Size]byte{}, err
	}
	return sha256.Sum256(raw), nil
}
