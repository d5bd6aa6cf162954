package fleet

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/prometheus/common/expfmt"
	"github.com/prometheus/common/model"

	"github.com/peppertrail/peppertrail/pkg/budget"
	engineapi "github.com/peppertrail/peppertrail/pkg/standin/engine"
	"github.com/peppertrail/peppertrail/pkg/standin/platform"
	"github.com/peppertrail/peppertrail/pkg/storage/remote"
)

func (f *Fleet) faults(down bool) platform.Faults {
	return platform.Faults{LatencyMs: f.options.LatencyMS, TableDown: down, ObjectsDown: down}
}

// SetStoreDown starts or ends an outage of the table and the object store.
func (f *Fleet) SetStoreDown(ctx context.Context, down bool) error {
	return f.platform.setFaults(ctx, f.faults(down))
}

// Stats returns the counters of the platform.
func (f *Fleet) Stats(ctx context.Context) (platform.Stats, error) { return f.platform.stats(ctx) }

// Journal returns the journal records of all engines.
func (f *Fleet) Journal(ctx context.Context) ([]engineapi.Record, error) {
	var records []engineapi.Record
	for i := range f.engines {
		part, err := f.engineJournal(ctx, i)
		if err != nil {
			return nil, fmt.Errorf("read journal of engine %d: %w", i, err)
		}
		records = append(records, part...)
	}
	return records, nil
}

func (f *Fleet) engineJournal(ctx context.Context, i int) ([]engineapi.Record, error) {
	response, err := f.get(ctx, f.EngineURL(i)+"/journal")
	if err != nil {
		return nil, err
	}
	defer response.Body.Close()
	var records []engineapi.Record
	lines := json.NewDecoder(response.Body)
	for {
		var r engineapi.Record
		err := lines.Decode(&r)
		if errors.Is(err, io.EOF) {
			return records, nil
		}
		if err != nil {
			return nil, err
		}
		records = append(records, r)
	}
}

func (f *Fleet) get(ctx context.Context, url string) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return nil, err
	}
	response, err := f.http.Do(req)
	if err == nil && response.StatusCode != http.StatusOK {
		response.Body.Close()
		return nil, errors.New(response.Status)
	}
	return response, err
}

// tableTimeout bounds a read of the table.
const tableTimeout = 10 * time.Second

// Debited returns the sum of granted and settled tokens over all budgets.
func (f *Fleet) Debited(ctx context.Context) (int64, error) {
	table := remote.New(f.platform.baseURL, tableTimeout)
	defer table.Close()
	const maxRows = 1000
	rows, err := table.Scan(ctx, "budget/", "", maxRows)
	if err != nil {
		return 0, fmt.Errorf("read budgets: %w", err)
	}
	sum := int64(0)
	for _, row := range rows {
		var record budget.Record
		if err := json.Unmarshal(row.Value, &record); err != nil {
			return 0, fmt.Errorf("decode %s: %w", row.Key, err)
		}
		sum += record.Granted + record.Settled
	}
	return sum, nil
}

// firstTokenMetric is the histogram of the latency that a daemon adds to the first token.
const firstTokenMetric = "peppertrail_first_token_added_seconds"

// FirstTokenAdded returns the sum of the firstTokenMetric histograms of all daemons
// that answer.
func (f *Fleet) FirstTokenAdded(ctx context.Context) Histogram {
	joined := Histogram{}
	for _, h := range f.daemons {
		response, err := f.get(ctx, "http://"+h.adminAddr+"/metrics")
		if err != nil {
			continue
		}
		parser := expfmt.NewTextParser(model.UTF8Validation)
		families, err := parser.TextToMetricFamilies(response.Body)
		response.Body.Close()
		if err != nil || families[firstTokenMetric] == nil {
			continue
		}
		for _, m := range families[firstTokenMetric].Metric {
			for _, b := range m.Histogram.Bucket {
				joined[b.GetUpperBound()] += b.GetCumulativeCount()
			}
		}
	}
	return joined
}
