package harness

import (
	"bufio"
	"io"
	"slices"
	"strings"
	"sync"
)

const (
	// tailLines is how many log lines of a process are kept for a failure report.
	tailLines = 40
	// maxLogLine bounds one log line in bytes.
	maxLogLine = 1 << 20
)

// logTail keeps the last lines of a process and finds awaited lines. It is
// safe for concurrent use.
type logTail struct {
	mu    sync.Mutex
	lines []string
}

// read consumes r and passes each line to onLine.
func (l *logTail) read(r io.Reader, onLine func(string)) {
	lines := bufio.NewScanner(r)
	lines.Buffer(nil, maxLogLine)
	for lines.Scan() {
		l.add(lines.Text())
		onLine(lines.Text())
	}
}

func (l *logTail) add(line string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.lines) == tailLines {
		l.lines = slices.Delete(l.lines, 0, 1)
	}
	l.lines = append(l.lines, line)
}

// String returns the kept lines.
func (l *logTail) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return strings.Join(l.lines, "\n")
}
