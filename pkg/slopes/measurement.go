package slopes

import (
	"context"
	"fmt"
	"io"
	"time"
)

// Measurement is a group of slopes that are measured together.
type Measurement struct {
	Name string
	run  func(context.Context, Settings, io.Writer) ([]Slope, error)
}

// Measurements returns all measurements in the order in which they run.
func Measurements() []Measurement {
	return []Measurement{
		{Name: "fleet", run: measureFleet},
		{Name: "holders", run: measureHolders},
		{Name: "targets", run: measureTargets},
		{Name: "requests", run: measureRequests},
		{Name: "homes", run: measureHomes},
		{Name: "tokens", run: measureTokens},
		{Name: "latency", run: measureLatency},
		{Name: "streams", run: measureStreams},
		{Name: "budgets", run: measureBudgets},
		{Name: "loaded", run: measureLoaded},
	}
}

// Run runs the measurement and prints one line per slope to out.
func (m Measurement) Run(ctx context.Context, s Settings, out io.Writer) error {
	begin := time.Now()
	all, err := m.run(ctx, s, out)
	if err != nil {
		return fmt.Errorf("%s: %w", m.Name, err)
	}
	for _, slope := range all {
		if _, err := fmt.Fprintln(out, slope.Line()); err != nil {
			return err
		}
	}
	_, err = fmt.Fprintf(out, "measured %s seconds=%.0f\n", m.Name, time.Since(begin).Seconds())
	return err
}
