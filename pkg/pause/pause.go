// Package pause provides a sleep that a context can end early.
package pause

import (
	"context"
	"time"
)

// For sleeps for d or until ctx ends. It returns at once if d is not positive.
func For(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
