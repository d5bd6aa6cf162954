// Package telemetry holds the daemon's logs, metrics and request journal.
//
// API keys, request bodies and answers never reach it: callers pass ids,
// counts, reasons and errors only, so nothing has to be removed from its output.
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

// componentField names the part of the daemon that logged a line.
const componentField = "component"

// Logs makes the loggers of one daemon, which share a level and an output.
type Logs struct {
	level  log.Level
	writer log.Writer
}

// NewLogs returns logs at a level (trace, debug, info, warn, error) and in a
// format (json, console) that go to w. It returns an error for other values.
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

// Discard returns logs that write nothing, for tests and tools.
func Discard() *Logs {
	return &Logs{level: log.ErrorLevel, writer: log.IOWriter{Writer: io.Discard}}
}

// Logger returns the logger of one component. Each of its lines starts with
// the component's name.
func (l *Logs) Logger(component string) *log.Logger {
	return &log.Logger{
		Level:   l.level,
		Writer:  l.writer,
		Context: log.NewContext(nil).Str(componentField, component).Value(),
	}
}
