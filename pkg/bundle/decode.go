package bundle

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
)

// ErrTooLarge reports that an encoded bundle exceeds MaxBytes.
var ErrTooLarge = fmt.Errorf("bundle is larger than %d bytes", MaxBytes)

// Decode decodes one bundle from JSON. Unknown fields, repeated fields and data
// after the bundle are errors. Decode checks only the syntax; Check validates
// the values.
func Decode(raw []byte) (Bundle, error) {
	var b Bundle
	if err := decodeStrict(raw, &b); err != nil {
		return Bundle{}, fmt.Errorf("decode bundle: %w", err)
	}
	return b, nil
}

func decodeStrict(raw []byte, into any) error {
	if len(raw) > MaxBytes {
		return ErrTooLarge
	}
	if err := rejectRepeatedFields(raw); err != nil {
		return err
	}
	dec := json.NewDecoder(bytes.NewReader(raw))
	dec.DisallowUnknownFields()
	if err := dec.Decode(into); err != nil {
		return fmt.Errorf("near byte %d: %w", dec.InputOffset(), err)
	}
	return requireEnd(dec)
}

// requireEnd returns an error if data follows the decoded document.
func requireEnd(dec *json.Decoder) error {
	offset := dec.InputOffset()
	if _, err := dec.Token(); !errors.Is(err, io.EOF) {
		return fmt.Errorf("data after the end of the document at byte %d", offset)
	}
	return nil
}
