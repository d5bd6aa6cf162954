package main

import (
	"bufio"
	"io"
	"strings"
)

// maxEventLineBytes limits the length of one line of an event stream.
const maxEventLineBytes = 4 << 20

// eventReader reads the data of server-sent events. An event ends with a blank
// line; its data lines are joined by line breaks.
type eventReader struct {
	lines *bufio.Scanner
}

func newEventReader(body io.Reader) *eventReader {
	lines := bufio.NewScanner(body)
	lines.Buffer(nil, maxEventLineBytes)
	return &eventReader{lines: lines}
}

// next returns the data of the next event. It returns io.EOF at the end of the
// stream, also if the last event is truncated.
func (r *eventReader) next() (string, error) {
	var data []string
	for r.lines.Scan() {
		line := r.lines.Text()
		if line == "" && len(data) > 0 {
			return strings.TrimSpace(strings.Join(data, "\n")), nil
		}
		if value, ok := strings.CutPrefix(line, "data:"); ok {
			data = append(data, strings.TrimPrefix(value, " "))
		}
	}
	if err := r.lines.Err(); err != nil {
		return "", err
	}
	return "", io.EOF
}
