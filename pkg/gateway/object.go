package gateway

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
)

var errNotObject = errors.New("not a JSON object")

// object is a JSON object with undecoded values. Member names are case-sensitive.
type object map[string]json.RawMessage

// decodeObject decodes one JSON object. A duplicate member name is an error, since a
// target might use the value that was not validated here. Members whose value is null
// are omitted.
func decodeObject(data []byte) (object, error) {
	dec := json.NewDecoder(bytes.NewReader(data))
	start, err := dec.Token()
	if err != nil || start != json.Delim('{') {
		return nil, errNotObject
	}
	members := make(object)
	seen := make(map[string]bool)
	for dec.More() {
		name, value, err := decodeMember(dec)
		if err != nil {
			return nil, err
		}
		if seen[name] {
			return nil, fmt.Errorf("member %q occurs twice", name)
		}
		seen[name] = true
		if !bytes.Equal(value, []byte("null")) {
			members[name] = value
		}
	}
	if _, err := dec.Token(); err != nil {
		return nil, errNotObject
	}
	if _, err := dec.Token(); err != io.EOF {
		return nil, errors.New("data after the JSON object")
	}
	return members, nil
}

// decodeMember decodes the next member and returns its name and value.
func decodeMember(dec *json.Decoder) (string, json.RawMessage, error) {
	token, err := dec.Token()
	if err != nil {
		return "", nil, errNotObject
	}
	name, ok := token.(string)
	if !ok {
		return "", nil, errNotObject
	}
	var value json.RawMessage
	if err := dec.Decode(&value); err != nil {
		return "", nil, fmt.Errorf("member %q: %w", name, err)
	}
	return name, value, nil
}
