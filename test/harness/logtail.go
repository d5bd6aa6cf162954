package harness

import (
	"bufio"
	"io"
	"slices"
	"strings"
	"sync"
)

const (
	// tailLines is the number of log lines of a process that are kept for a failure report.
	tailLines = 40
	// maxLogLine is the maximum length of a log line in bytes.
	maxLogLine = 1 << 20
)

// logTail keeps the last log lines of a process. It is safe for concurrent use.
type logTail struct {
	mu    sync.Mutex
	lines []string
}

// read reads r until it ends, keeps its last lines and passes each line to onLine.
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
