package target

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"
)

// Limits of one report.
const (
	// ReportTimeout bounds the whole exchange, including the body.
	ReportTimeout = 400 * time.Millisecond
	// MaxReportBytes bounds the body. Engines export a few hundred metrics
	// besides the ones read here, well under 1 MiB.
	MaxReportBytes = 1 << 20
)

// ErrReportTooLarge means that a report exceeded MaxReportBytes.
var ErrReportTooLarge = errors.New("report too large")

// ErrMalformedReport means that a report could not be understood or contradicts itself.
var ErrMalformedReport = errors.New("malformed report")

// fetch reads http://addr/path within ReportTimeout and MaxReportBytes.
func fetch(ctx context.Context, client *http.Client, addr, path string) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, ReportTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr+path, nil)
	if err != nil {
		return nil, fmt.Errorf("report request: %w", err)
	}
	resp, err := client.Do(req)
	if err != nil {
		return nil, fmt.Errorf("read report: %w", err)
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("read report: status %d", resp.StatusCode)
	}
	return readLimited(resp.Body)
}

// readLimited reads r to its end, or fails with ErrReportTooLarge.
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
