package slopes

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"
)

const (
	// clockTick is the unit of processor time in /proc on Linux.
	clockTick = 10 * time.Millisecond
	// Fields of /proc/<pid>/stat after the command name, counted from 0.
	statUserTime   = 11
	statSystemTime = 12
	bytesPerKB     = 1024
)

// usage is the processor time and memory of a process.
type usage struct {
	cpu    time.Duration // user and system time since its start
	memory int64         // resident set in bytes
	heap   int64         // private anonymous memory in bytes, without the program text
}

// usageOf reads the usage of a process from /proc.
func usageOf(pid int) (usage, error) {
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return usage{}, fmt.Errorf("read processor time: %w", err)
	}
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return usage{}, fmt.Errorf("read memory: %w", err)
	}
	u := usage{memory: statusBytes(string(status), "VmRSS:"), heap: statusBytes(string(status), "RssAnon:")}
	u.cpu, err = statCPU(string(stat))
	return u, err
}

// statCPU returns the processor time in the text of /proc/<pid>/stat.
func statCPU(stat string) (time.Duration, error) {
	// The command name may contain spaces and parentheses.
	fields := strings.Fields(stat[strings.LastIndexByte(stat, ')')+1:])
	if len(fields) <= statSystemTime {
		return 0, fmt.Errorf("read processor time: /proc/<pid>/stat has only %d fields after the command name", len(fields))
	}
	user, err := strconv.ParseInt(fields[statUserTime], 10, 64)
	if err != nil {
		return 0, fmt.Errorf("read user time: %w", err)
	}
	system, err := strconv.ParseInt(fields[statSystemTime], 10, 64)
	if err != nil {
		return 0, fmt.Errorf("read system time: %w", err)
	}
	return time.Duration(user+system) * clockTick, nil
}

// statusBytes returns a size in the text of /proc/<pid>/status, 0 if absent.
func statusBytes(status, name string) int64 {
	for line := range strings.Lines(status) {
		if rest, ok := strings.CutPrefix(line, name); ok {
			kb, _ := strconv.ParseInt(strings.Fields(rest)[0], 10, 64)
			return kb * bytesPerKB
		}
	}
	return 0
}
