package main

import (
	"encoding/json"
	"fmt"
	"strings"
	"text/tabwriter"
)

// columnGap is the space between table columns, in characters.
const columnGap = 2

// show prints a value as JSON, or calls the other form for people.
func (a *app) show(value any, people func()) error {
	if !a.settings.json {
		people()
		return nil
	}
	enc := json.NewEncoder(a.stdout)
	enc.SetIndent("", "  ")
	return enc.Encode(value)
}

// table prints rows under a header. An empty table still shows the header.
func (a *app) table(header []string, rows [][]string) {
	w := tabwriter.NewWriter(a.stdout, 0, 0, columnGap, ' ', 0)
	fmt.Fprintln(w, strings.Join(header, "\t"))
	for _, row := range rows {
		fmt.Fprintln(w, strings.Join(row, "\t"))
	}
	w.Flush()
}

// warnUnreadable names rows that the daemon could not decode.
func (a *app) warnUnreadable(keys []string) {
	for _, key := range keys {
		fmt.Fprintln(a.stderr, "peppertrail: row cannot be decoded and is left out:", key)
	}
}
