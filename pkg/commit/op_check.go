package commit

import (
	"errors"
	"fmt"
)

// ErrInvalidOp means that an op writes a key twice, or that it writes the holder
// row or has a condition on it. Nothing of it was written.
var ErrInvalidOp = errors.New("invalid operation")

// keys returns the keys of the conditions and writes of op, with repetitions.
func (op Op) keys() []string {
	keys := make([]string, 0, len(op.Conditions)+len(op.Puts)+len(op.Deletes))
	for _, c := range op.Conditions {
		keys = append(keys, c.Key)
	}
	for _, p := range op.Puts {
		keys = append(keys, p.Key)
	}
	return append(keys, op.Deletes...)
}

// validate returns ErrInvalidOp (wrapped) if the table would reject a transaction
// that contains op.
func (op Op) validate(holderKey string) error {
	written := map[string]bool{holderKey: true}
	for _, c := range op.Conditions {
		if c.Key == holderKey {
			return fmt.Errorf("%w: condition on the holder row", ErrInvalidOp)
		}
	}
	for _, key := range op.keys()[len(op.Conditions):] {
		if written[key] {
			return fmt.Errorf("%w: %s is written twice", ErrInvalidOp, key)
		}
		written[key] = true
	}
	return nil
}
