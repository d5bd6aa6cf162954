package bundle

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"fmt"
)

// digestDomain separates bundle digests from other SHA-256 sums.
const digestDomain = "peppertrail bundle v1\x00"

// Link is the part of a version that proves a change of operators: its trust,
// its signatures and the digest of the rest. It lets a daemon follow changes
// of operators without the full text of the versions that it missed.
type VersionHeader struct {
	Version    uint64      `json:"version"`
	Trust      Trust       `json:"trust"` // established by this version for its successors
	Body       string      `json:"body"`  // SHA-256 of the canonical encoding, hex
	Signatures []Signature `json:"signatures"`
	body       [sha256.Size]byte
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

// decodeBody fills the binary digest of a link that came as JSON.
func (l *VersionHeader) decodeBody() error {
	raw, err := hex.DecodeString(l.Body)
	if err != nil || len(raw) != sha256.Size {
		return fmt.Errorf("link of version %d: body is not a SHA-256 in hex", l.Version)
	}
	copy(l.body[:], raw)
	return nil
}

// digest is the digest of the version that the link stands for.
func (l VersionHeader) digest() [sha256.Size]byte {
	trust := l.Trust.digest()
	message := []byte(digestDomain)
	message = binary.BigEndian.AppendUint64(message, l.Version)
	message = append(message, trust[:]...)
	message = append(message, l.body[:]...)
	return sha256.Sum256(message)
}
