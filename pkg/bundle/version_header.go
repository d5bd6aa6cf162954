package bundle

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"fmt"
)

// digestDomain is the domain separation prefix of bundle digests. It keeps them
// distinct from other SHA-256 sums.
const digestDomain = "peppertrail bundle v1\x00"

// VersionHeader is the signed part of a version: its number, its trust and the
// digest of its canonical encoding, with the signatures. A daemon can verify
// changes of operators with the headers alone, without the full text of the
// versions that it missed.
type VersionHeader struct {
	Version    uint64            `json:"version"`
	Trust      Trust             `json:"trust"` // trust that this version establishes for its successors
	Body       string            `json:"body"`  // SHA-256 of the canonical encoding, hex
	Signatures []Signature       `json:"signatures"`
	body       [sha256.Size]byte // Body in binary form
}

func versionHeaderOf(b Bundle, signatures []Signature) (VersionHeader, error) {
	n := Normalized(b)
	body, err := bodyDigest(n)
	if err != nil {
		return VersionHeader{}, err
	}
	return VersionHeader{
		Version:    n.Version,
		Trust:      TrustOf(n),
		Body:       hex.EncodeToString(body[:]),
		Signatures: signatures,
		body:       body,
	}, nil
}

// decodeBody sets body from Body in a header that was decoded from JSON.
func (h *VersionHeader) decodeBody() error {
	raw, err := hex.DecodeString(h.Body)
	if err != nil || len(raw) != sha256.Size {
		return fmt.Errorf("link of version %d: body is not a SHA-256 in hex", h.Version)
	}
	copy(h.body[:], raw)
	return nil
}

// digest returns the digest of the version, which operators sign.
func (h VersionHeader) digest() [sha256.Size]byte {
	trust := h.Trust.digest()
	message := []byte(digestDomain)
	message = binary.BigEndian.AppendUint64(message, h.Version)
	message = append(message, trust[:]...)
	message = append(message, h.body[:]...)
	return sha256.Sum256(message)
}
