package target

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/peppertrail/peppertrail/pkg/storage"
)

// designTargets is the number of targets that the fleet is designed for.
const designTargets = 600

// engineMembers returns a membership list of n engines.
func engineMembers(n int) []storage.Member {
	members := make([]storage.Member, 0, n)
	for i := range n {
		members = append(members, storage.Member{
			ID:      fmt.Sprintf("chef-%03d", i),
			Kind:    storage.TargetMember,
			Addr:    "10.0.0.1:80",
			Service: "chef-llm",
			State:   storage.MemberLive,
		})
	}
	return members
}

// BenchmarkTrackerSecond measures the work of one second for the goroutine that
// owns the tracker: two reports for each of designTargets targets, and the
// ticks. 10 ms/op is 1% of a core.
func BenchmarkTrackerSecond(b *testing.B) {
	tracker := NewTracker(DefaultLimits())
	members := engineMembers(designTargets)
	now := testTime
	tracker.Apply(members, services, now)
	ticks := int(time.Second / tickInterval)
	b.ReportAllocs()
	for b.Loop() {
		for range 2 {
			for _, m := range members {
				tracker.Report(m.ID, Snapshot{Running: 1, Capacity: 8}, now)
			}
		}
		for range ticks {
			now = now.Add(tickInterval)
			tracker.Tick(now)
		}
	}
}

// BenchmarkView measures one copy of the view of designTargets targets.
func BenchmarkView(b *testing.B) {
	tracker := NewTracker(DefaultLimits())
	tracker.Apply(engineMembers(designTargets), services, testTime)
	b.ReportAllocs()
	for b.Loop() {
		_ = tracker.View()
	}
}

// BenchmarkParsePromText measures the conversion of one small report.
func BenchmarkParsePromText(b *testing.B) {
	b.ReportAllocs()
	for b.Loop() {
		if _, err := parsePromText([]byte(validPromText), testTime); err != nil {
			b.Fatal(err)
		}
	}
}

// BenchmarkReport measures one report over HTTP on loopback, including the work
// of the server, which runs in the same process.
func BenchmarkReport(b *testing.B) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write([]byte(validPromText))
	}))
	defer server.Close()
	client := reportClient()
	defer client.CloseIdleConnections()
	adapter := NewPromTextAdapter(client)
	b.ReportAllocs()
	for b.Loop() {
		if _, err := adapter.Report(b.Context(), Target{Addr: server.Listener.Addr().String()}); err != nil {
			b.Fatal(err)
		}
	}
}
