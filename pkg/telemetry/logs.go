// Package telemetry implements the daemon's logs, metrics and request journal.
//
// Its callers must not pass API keys, request bodies or response bodies, but only
// ids, counts, reasons and errors, since it removes nothing from its output.
package telemetry

import (
	"fmt"
	"io"

	"github.com/phuslu/log"
)

// Formats of log lines.
const (
	JSONFormat    = "json"
	ConsoleFormat = "console"
)

// componentField is the key of the log field with the component that logged a line.
const componentField = "component"

// Logs creates the loggers of one daemon, which share a level and an output.
type Logs struct {
	level  log.Level
	writer log.Writer
}

// NewLogs returns Logs that write to w. level is trace, debug, info, warn or error;
// format is json or console. It returns an error for other values.
func NewLogs(level, format string, w io.Writer) (*Logs, error) {
	parsed := log.ParseLevel(level)
	if parsed < log.TraceLevel || parsed > log.ErrorLevel {
		return nil, fmt.Errorf("log level %q: allowed: trace, debug, info, warn, error", level)
	}
	out := &lockedWriter{out: w}
	switch format {
	case JSONFormat:
		return &Logs{level: parsed, writer: log.IOWriter{Writer: out}}, nil
	case ConsoleFormat:
		return &Logs{level: parsed, writer: &log.ConsoleWriter{Writer: out, Formatter: formatConsole}}, nil
	}
	return nil, fmt.Errorf("log format %q: allowed: json, console", format)
}

// Discard returns Logs that discard all lines, for tests and tools.
func Discard() *Logs {
	return &Logs{level: log.ErrorLevel, writer: log.IOWriter{Writer: io.Discard}}
}

// Logger returns the logger of one component. Each of its lines has the component's
// name as a field.
func (l *Logs) Logger(component string) *log.Logger {
	return &log.Logger{
		Level:   l.level,
		Writer:  l.writer,
		Context: log.NewContext(nil).Str(componentField, component).Value(),
	}
}
