package slopes

import (
	"fmt"
	"os"
	"runtime"
	"strings"
)

// MachineLine returns a line that describes the machine of a run.
func MachineLine() string {
	memory, load := int64(0), "unknown"
	if raw, err := os.ReadFile("/proc/meminfo"); err == nil {
		memory = statusBytes(string(raw), "MemTotal:")
	}
	if raw, err := os.ReadFile("/proc/loadavg"); err == nil {
		load, _, _ = strings.Cut(string(raw), " ")
	}
	return fmt.Sprintf("machine cores=%d memory_gb=%.0f go=%s os=%s/%s load_average=%s",
		runtime.NumCPU(), float64(memory)/(1<<30), runtime.Version(), runtime.GOOS, runtime.GOARCH, load)
}
