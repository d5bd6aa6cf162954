package telemetry

import (
	"bytes"
	"fmt"
	"io"

	"github.com/phuslu/log"
)

// formatConsole writes a log line as text: time, level, component, message, fields.
func formatConsole(w io.Writer, args *log.FormatterArgs) (int, error) {
	var line bytes.Buffer
	fmt.Fprintf(&line, "%s %-5s %s: %s", args.Time, args.Level, component(args), args.Message)
	for _, kv := range args.KeyValues {
		if kv.Key != componentField {
			fmt.Fprintf(&line, " %s=%s", kv.Key, kv.Value)
		}
	}
	line.WriteByte('\n')
	return w.Write(line.Bytes())
}

// component returns the component that logged the line.
func component(args *log.FormatterArgs) string {
	for _, kv := range args.KeyValues {
		if kv.Key == componentField {
			return kv.Value
		}
	}
	return ""
}
