package target

import (
	"testing"
)

// Guards against a report that makes a parser panic or yields a snapshot with
// values out of range.
func FuzzParseReport(f *testing.F) {
	f.Add([]byte(validPromText))
	f.Add([]byte(`{"state":"SERVING","slots_total":4,"slots_busy":1,"queue_depth":5,"kv_used":1}`))
	f.Add([]byte(`{"status":"ok","inflight":12,"capacity":10}`))
	f.Fuzz(func(t *testing.T, body []byte) {
		for kind, parse := range parsers {
			s, err := parse(body, testTime)
			if err != nil {
				continue
			}
			if err := checkSnapshot(s); err != nil {
				t.Errorf("%s: accepted %+v: %v", kind, s, err)
			}
		}
	})
}
