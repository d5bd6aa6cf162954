package telemetry

import (
	"fmt"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// blockingOutput blocks writes until release is closed.
type blockingOutput struct {
	release chan struct{}
	mu      sync.Mutex
	text    strings.Builder
}

func (o *blockingOutput) Write(p []byte) (int, error) {
	<-o.release
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.text.Write(p)
}

// Guards against logging that delays its callers, and against dropping lines
// without reporting their number.
func TestBoundedWriterReportsDroppedLines(t *testing.T) {
	out := &blockingOutput{release: make(chan struct{})}
	w := NewBoundedWriter(out)
	// One batch may be in progress and the queue full before a line is dropped.
	const written = 2*maxQueuedLines + maxBatchBytes/len("line 0\n") + 1
	start := time.Now()
	for i := range written {
		fmt.Fprintf(w, "line %d\n", i)
	}
	assert.Assert(t, time.Since(start) < time.Second)
	dropped := w.Dropped()
	assert.Assert(t, dropped >= maxQueuedLines)
	close(out.release)
	assert.NilError(t, w.Close())
	text := out.text.String()
	assert.Assert(t, strings.Contains(text, "line 0\n"))
	reported := int64(0) // sum over the lines that report dropped lines
	for _, match := range regexp.MustCompile(`"dropped":(\d+)`).FindAllStringSubmatch(text, -1) {
		n, err := strconv.ParseInt(match[1], 10, 64)
		assert.NilError(t, err)
		reported += n
	}
	assert.Equal(t, reported, dropped)
	assert.Equal(t, strings.Count(text, "line "), written-int(dropped))
}
