package bundle

import (
	"crypto/ed25519"
	"crypto/sha256"
	"encoding/json"
	"fmt"
	"slices"
	"strings"

	"github.com/peppertrail/peppertrail/pkg/access"
)

// Trust is the set of operators who may sign the next version and the number of
// signatures that it requires.
type Trust struct {
	Operators []Operator `json:"operators"`
	Required  int        `json:"required_signoffs"` // number of distinct operators who must sign
}

// TrustOf returns the trust that a bundle establishes for its successor.
func TrustOf(b Bundle) Trust {
	return Trust{Operators: b.Operators, Required: b.RequiredSignoffs}
}

// BootstrapTrust returns the trust for the first bundle: every operator key in
// the settings must sign it. Otherwise one compromised bootstrap key would be
// enough to set the configuration of a new fleet, or of a new daemon that cannot
// reach the table.
func BootstrapTrust(operators []Operator) Trust {
	return Trust{Operators: operators, Required: len(operators)}
}

// trustFor returns the trust that applies to the successor of current.
func trustFor(current *Bundle, bootstrap []Operator) Trust {
	if current == nil {
		return BootstrapTrust(bootstrap)
	}
	return TrustOf(*current)
}

func (t Trust) equal(other Trust) bool {
	return t.Required == other.Required && slices.Equal(t.Operators, other.Operators)
}

func (t Trust) digest() [sha256.Size]byte {
	t.Operators = cloneList(t.Operators)
	raw, err := json.Marshal(t)
	if err != nil { // unreachable: strings and an int can always be encoded
		panic(err)
	}
	return sha256.Sum256(raw)
}

// Operator returns the operator with the given name.
func (t Trust) Operator(name string) (Operator, bool) {
	for _, o := range t.Operators {
		if o.Name == name {
			return o, true
		}
	}
	return Operator{}, false
}

// verifyOne verifies one signature of a digest.
func (t Trust) verifyOne(digest [sha256.Size]byte, s Signature) error {
	o, ok := t.Operator(s.Operator)
	if !ok {
		return fmt.Errorf("%q is not an operator of the bundle in force (operators: %s)", s.Operator, t.operatorNames())
	}
	key, err := o.Key()
	if err != nil {
		return fmt.Errorf("key of operator %q: %w", s.Operator, err)
	}
	raw, err := access.DecodeBase64(s.Value, ed25519.SignatureSize)
	if err != nil {
		return fmt.Errorf("signature of %q: %w", s.Operator, err)
	}
	if !ed25519.Verify(key, signedMessage(digest), raw) {
		return fmt.Errorf("signature of %q does not match this bundle", s.Operator)
	}
	return nil
}

// verify returns a *SignoffError unless enough distinct operators have signed the digest.
func (t Trust) verify(digest [sha256.Size]byte, signatures []Signature) error {
	if t.Required < 1 || len(t.Operators) == 0 {
		return fmt.Errorf("no operator is trusted: set the bootstrap operator keys")
	}
	signers := make(map[string]bool)
	var ignored []string
	for _, s := range signatures {
		if err := t.verifyOne(digest, s); err != nil {
			ignored = append(ignored, err.Error())
			continue
		}
		signers[s.Operator] = true
	}
	if len(signers) >= t.Required {
		return nil
	}
	return &SignoffError{Have: len(signers), Required: t.Required, Missing: t.missingSigners(signers), Ignored: ignored}
}

func (t Trust) missingSigners(signers map[string]bool) []string {
	var missing []string
	for _, o := range t.Operators {
		if !signers[o.Name] {
			missing = append(missing, o.Name)
		}
	}
	return missing
}

func (t Trust) operatorNames() string {
	names := make([]string, 0, len(t.Operators))
	for _, o := range t.Operators {
		names = append(names, o.Name)
	}
	return strings.Join(names, ", ")
}
