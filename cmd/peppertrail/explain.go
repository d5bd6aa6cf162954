package main

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"os"
	"slices"
	"strings"

	"github.com/integrii/flaggy"
)

// maxLogLineBytes limits the length of one log line.
const maxLogLineBytes = 1 << 20

// explainCommand prints what daemons have logged about one request.
type explainCommand struct {
	app     *app
	request string
	files   []string
}

func (a *app) registerExplain(group *flaggy.Subcommand) {
	e := &explainCommand{app: a}
	sub := a.addCommand(group, "explain", "what the logs of daemons say of one request", e.run)
	sub.String(&e.request, "", "request", "id of the request")
	sub.StringSlice(&e.files, "", "log", "log of a daemon; may be repeated; without it the log is read from standard input")
}

func (e *explainCommand) run(context.Context) error {
	if e.request == "" {
		return newUsageError("--request", "no id", "name the request")
	}
	found := 0
	if len(e.files) == 0 {
		n, err := e.printMatchingLines("-", os.Stdin)
		if err != nil {
			return err
		}
		found += n
	}
	for _, name := range e.files {
		f, err := os.Open(name)
		if err != nil {
			return fmt.Errorf("log: %w", err)
		}
		n, err := e.printMatchingLines(name, f)
		f.Close()
		if err != nil {
			return err
		}
		found += n
	}
	if found == 0 {
		return fmt.Errorf("no line of request %s", e.request)
	}
	return nil
}

// printMatchingLines prints the log lines of the request and returns their number.
// It skips lines that are not JSON, because the output of a crashing process goes
// to the same log.
func (e *explainCommand) printMatchingLines(name string, r io.Reader) (int, error) {
	lines := bufio.NewScanner(r)
	lines.Buffer(nil, maxLogLineBytes)
	found := 0
	for lines.Scan() {
		text := lines.Text()
		if !strings.Contains(text, e.request) {
			continue
		}
		start := strings.IndexByte(text, '{')
		var fields map[string]any
		if start < 0 || json.Unmarshal([]byte(text[start:]), &fields) != nil || fields["request"] != e.request {
			continue
		}
		found++
		e.printLogLine(text[:start], fields)
	}
	if err := lines.Err(); err != nil {
		return found, fmt.Errorf("log %s: %w", name, err)
	}
	return found, nil
}

// printLogLine prints the message first, then the other fields sorted by name.
func (e *explainCommand) printLogLine(prefix string, fields map[string]any) {
	fmt.Fprintf(e.app.stdout, "%s%v %v: %v\n", prefix, fields["time"], fields["component"], fields["message"])
	for _, name := range slices.Sorted(maps.Keys(fields)) {
		switch name {
		case "time", "component", "message", "level", "request":
		default:
			fmt.Fprintf(e.app.stdout, "    %s: %v\n", name, fields[name])
		}
	}
}
