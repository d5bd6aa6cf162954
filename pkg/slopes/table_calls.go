package slopes

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
)

// printTableCalls prints the calls to the platform in a window by kind of row.
func printTableCalls(out io.Writer, name string, size int, w window) {
	fmt.Fprintf(out, "calls %s size=%d reads_per_second=%s writes_per_second=%s rows_written_per_second=%s other_per_second=%s\n", name, size,
		formatRates(w.calls.Reads, w.seconds), formatRates(w.calls.Writes, w.seconds), formatRates(w.calls.Rows, w.seconds), formatRates(w.calls.Other, w.seconds))
}

// formatRates returns counts as rates per second, sorted by kind.
func formatRates(counts map[string]int64, seconds float64) string {
	parts := make([]string, 0, len(counts))
	for _, kind := range slices.Sorted(maps.Keys(counts)) {
		parts = append(parts, fmt.Sprintf("%s:%.2f", kind, float64(counts[kind])/seconds))
	}
	if len(parts) == 0 {
		return "none"
	}
	return strings.Join(parts, ",")
}
