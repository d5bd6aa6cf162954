package target

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"
)

// Limits of one report request.
const (
	// ReportTimeout limits the whole exchange, from the connection to the end
	// of the body.
	ReportTimeout = 400 * time.Millisecond
	// MaxReportBytes limits the body. Engines export a few hundred metrics
	// besides the ones read here, well under 1 MiB.
	MaxReportBytes = 1 << 20
)

// ErrReportTooLarge is returned for a report longer than MaxReportBytes.
var ErrReportTooLarge = errors.New("report exceeds the size limit")

// ErrMalformedReport is returned for a report that cannot be parsed or has
// missing or invalid values.
var ErrMalformedReport = errors.New("malformed report")

// fetch requests http://addr/path, limited by ReportTimeout and MaxReportBytes.
func fetch(ctx context.Context, client *http.Client, addr, path string) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, ReportTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr+path, nil)
	if err != nil {
		return nil, fmt.Errorf("create report request: %w", err)
	}
	resp, err := client.Do(req)
	if err != nil {
		return nil, fmt.Errorf("request report: %w", err)
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("read report: HTTP status %d, want 200", resp.StatusCode)
	}
	return readLimited(resp.Body)
}

// readLimited reads r to its end, or returns ErrReportTooLarge after
// MaxReportBytes.
func readLimited(r io.Reader) ([]byte, error) {
	body, err := io.ReadAll(io.LimitReader(r, MaxReportBytes+1))
	if err != nil {
		return nil, fmt.Errorf("read report: %w", err)
	}
	if len(body) > MaxReportBytes {
		return nil, ErrReportTooLarge
	}
	return body, nil
}
