package main

import (
	"encoding/json"
	"fmt"
	"strings"
	"text/tabwriter"
)

// columnPadding is the number of spaces between table columns.
const columnPadding = 2

// printResult prints the value as JSON if --json is set, and otherwise calls
// printText, which prints it in readable form.
func (a *app) printResult(value any, printText func()) error {
	if !a.settings.jsonOutput {
		printText()
		return nil
	}
	enc := json.NewEncoder(a.stdout)
	enc.SetIndent("", "  ")
	return enc.Encode(value)
}

// printTable prints rows under a header. An empty table still shows the header.
func (a *app) printTable(header []string, rows [][]string) {
	w := tabwriter.NewWriter(a.stdout, 0, 0, columnPadding, ' ', 0)
	fmt.Fprintln(w, strings.Join(header, "\t"))
	for _, row := range rows {
		fmt.Fprintln(w, strings.Join(row, "\t"))
	}
	w.Flush()
}

// warnUnreadable prints a warning for each row that the daemon could not decode.
func (a *app) warnUnreadable(keys []string) {
	for _, key := range keys {
		fmt.Fprintln(a.stderr, "peppertrail: row cannot be decoded and is left out:", key)
	}
}
