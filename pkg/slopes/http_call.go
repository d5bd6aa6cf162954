package slopes

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
)

// call sends a JSON body. It returns an error if the status is 300 or higher.
func call(ctx context.Context, method, url string, body []byte) error {
	req, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return err
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		return err
	}
	if resp.StatusCode >= http.StatusMultipleChoices {
		return fmt.Errorf("%s %s: status %d: %s", method, url, resp.StatusCode, text)
	}
	return nil
}
