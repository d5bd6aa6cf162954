package bundle

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"strings"
)

// maxNestingDepth limits the nesting depth of a document. A bundle has five levels.
const maxNestingDepth = 32

// rejectRepeatedFields returns an error if a field occurs twice in one object.
// encoding/json uses the last occurrence, so a reviewer could read a value that
// is not in effect. Names are compared case-insensitively, as in encoding/json.
func rejectRepeatedFields(raw []byte) error {
	dec := json.NewDecoder(bytes.NewReader(raw))
	return checkValue(dec, 0)
}

func checkValue(dec *json.Decoder, depth int) error {
	token, err := dec.Token()
	if errors.Is(err, io.EOF) {
		return errors.New("document is empty or cut off")
	}
	if err != nil {
		return err
	}
	if depth > maxNestingDepth {
		return fmt.Errorf("nested deeper than %d levels at byte %d", maxNestingDepth, dec.InputOffset())
	}
	switch token {
	case json.Delim('{'):
		return checkObject(dec, depth)
	case json.Delim('['):
		return checkArray(dec, depth)
	}
	return nil
}

func checkObject(dec *json.Decoder, depth int) error {
	seen := make(map[string]bool)
	for dec.More() {
		token, err := dec.Token()
		if err != nil {
			return err
		}
		name, _ := token.(string)
		folded := strings.ToLower(name)
		if seen[folded] {
			return fmt.Errorf("field %q occurs twice at byte %d", name, dec.InputOffset())
		}
		seen[folded] = true
		if err := checkValue(dec, depth+1); err != nil {
			return err
		}
	}
	_, err := dec.Token()
	return err
}

func checkArray(dec *json.Decoder, depth int) error {
	for dec.More() {
		if err := checkValue(dec, depth+1); err != nil {
			return err
		}
	}
	_, err := dec.Token()
	return err
}
