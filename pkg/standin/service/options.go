package service

import (
	"fmt"
	"time"
)

// Options are the settings of a service stand-in.
type Options struct {
	Delay       time.Duration // time from accepting a call to its response
	Capacity    int           // maximum number of concurrent calls; more are refused with 503
	CrashMarker string        // body content that makes the process exit; empty: none
	Journal     string        // path of the journal file; empty: none
	Exit        func(int)     // ends the process on a crash marker; nil: os.Exit
}

// validate returns an error for the first setting that is out of range.
func (o Options) validate() error {
	if o.Capacity < 1 {
		return fmt.Errorf("capacity %d: want at least 1", o.Capacity)
	}
	if o.Delay < 0 {
		return fmt.Errorf("delay %s: want at least 0", o.Delay)
	}
	return nil
}
