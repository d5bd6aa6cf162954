package access

import (
	"encoding/base64"
	"fmt"
)

// DecodeBase64 decodes standard base64 of a value with a fixed size in bytes.
// It accepts only the canonical encoding. In particular it refuses line breaks,
// which the standard library's decoder skips.
func DecodeBase64(text string, size int) ([]byte, error) {
	raw, err := base64.StdEncoding.Strict().DecodeString(text)
	if err != nil || len(raw) != size || base64.StdEncoding.EncodeToString(raw) != text {
		return nil, fmt.Errorf("not %d bytes in standard base64", size)
	}
	return raw, nil
}
