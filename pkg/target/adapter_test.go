package target

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const validPromText = `# TYPE num_requests_running gauge
num_requests_running{model="chef"} 3
num_requests_waiting 2
max_num_seqs 8
kv_cache_usage_perc 0.25
engine_draining 1
# TYPE other_total counter
other_total 7
`

// testTime is the time at which the tests receive reports or start their
// simulated clock.
var testTime = time.Date(2026, 12, 1, 4, 0, 0, 0, time.UTC)

// Guards against reading a value of a report into the wrong field of the
// snapshot.
func TestParseReports(t *testing.T) {
	tests := []struct {
		desc  string
		parse func([]byte, time.Time) (Snapshot, error)
		body  string
		want  Snapshot
	}{
		{
			desc:  "prometheus text",
			parse: parsePromText,
			body:  validPromText,
			want:  Snapshot{Running: 3, Waiting: 2, Capacity: 8, CacheUsed: 0.25, Draining: true, ReportedAt: testTime},
		},
		{
			desc:  "prometheus text without the draining gauge",
			parse: parsePromText,
			body:  strings.ReplaceAll(validPromText, "engine_draining 1\n", ""),
			want:  Snapshot{Running: 3, Waiting: 2, Capacity: 8, CacheUsed: 0.25, ReportedAt: testTime},
		},
		{
			desc:  "engine JSON",
			parse: parseJSONStatus,
			body:  `{"state":"SERVING","slots_total":4,"slots_busy":1,"queue_depth":5,"kv_used":1}`,
			want:  Snapshot{Running: 1, Waiting: 5, Capacity: 4, CacheUsed: 1, ReportedAt: testTime},
		},
		{
			desc:  "draining engine JSON",
			parse: parseJSONStatus,
			body:  `{"state":"DRAINING","slots_total":4,"slots_busy":0,"queue_depth":0,"kv_used":0}`,
			want:  Snapshot{Capacity: 4, Draining: true, ReportedAt: testTime},
		},
		{
			desc:  "service above its capacity",
			parse: parseService,
			body:  `{"status":"ok","inflight":12,"capacity":10}`,
			want:  Snapshot{Running: 10, Waiting: 2, Capacity: 10, ReportedAt: testTime},
		},
		{
			desc:  "draining service",
			parse: parseService,
			body:  `{"status":"draining","inflight":2,"capacity":10}`,
			want:  Snapshot{Running: 2, Capacity: 10, Draining: true, ReportedAt: testTime},
		},
	}
	for _, test := range tests {
		t.Run(test.desc, func(t *testing.T) {
			got, err := test.parse([]byte(test.body), testTime)
			assert.NilError(t, err)
			assert.DeepEqual(t, got, test.want)
		})
	}
}

// Guards against treating a malformed report as that of an idle target, which
// would attract all requests.
func TestMalformedReports(t *testing.T) {
	tests := []struct {
		desc  string
		parse func([]byte, time.Time) (Snapshot, error)
		body  string
	}{
		{"prometheus: empty", parsePromText, ""},
		{"prometheus: not text", parsePromText, "\x00\xff{"},
		{"prometheus: missing gauge", parsePromText, strings.ReplaceAll(validPromText, "max_num_seqs 8\n", "")},
		{"prometheus: two samples", parsePromText, validPromText + "max_num_seqs{engine=\"1\"} 9\n"},
		{"prometheus: type line without sample", parsePromText, "# TYPE max_num_seqs gauge\n"},
		{"prometheus: NaN", parsePromText, strings.ReplaceAll(validPromText, "waiting 2", "waiting NaN")},
		{"prometheus: infinite", parsePromText, strings.ReplaceAll(validPromText, "waiting 2", "waiting +Inf")},
		{"prometheus: negative", parsePromText, strings.ReplaceAll(validPromText, "waiting 2", "waiting -2")},
		{"prometheus: fraction", parsePromText, strings.ReplaceAll(validPromText, "waiting 2", "waiting 2.5")},
		{"prometheus: cache use in percent", parsePromText, strings.ReplaceAll(validPromText, "perc 0.25", "perc 25")},
		{"prometheus: draining is 2", parsePromText, strings.ReplaceAll(validPromText, "draining 1", "draining 2")},
		{"prometheus: no capacity", parsePromText, strings.ReplaceAll(validPromText, "seqs 8", "seqs 0")},
		{"prometheus: counter", parsePromText, "# TYPE max_num_seqs counter\n" + validPromText},
		{"engine: empty", parseJSONStatus, ""},
		{"engine: null", parseJSONStatus, "null"},
		{"engine: missing field", parseJSONStatus, `{"state":"SERVING","slots_total":4,"slots_busy":1,"kv_used":1}`},
		{"engine: unknown state", parseJSONStatus, `{"state":"OK","slots_total":4,"slots_busy":1,"queue_depth":5,"kv_used":1}`},
		{"engine: negative", parseJSONStatus, `{"state":"SERVING","slots_total":4,"slots_busy":-1,"queue_depth":5,"kv_used":1}`},
		{"engine: huge", parseJSONStatus, `{"state":"SERVING","slots_total":4,"slots_busy":1,"queue_depth":99999999999,"kv_used":1}`},
		{"service: empty object", parseService, "{}"},
		{"service: wrong type", parseService, `{"status":"ok","inflight":"2","capacity":10}`},
		{"service: no capacity", parseService, `{"status":"ok","inflight":2,"capacity":0}`},
	}
	for _, test := range tests {
		t.Run(test.desc, func(t *testing.T) {
			_, err := test.parse([]byte(test.body), testTime)
			assert.ErrorIs(t, err, ErrMalformedReport)
		})
	}
}

// Guards against treating an engine that is loading its model as broken or
// idle.
func TestLoadingEngine(t *testing.T) {
	_, err := parseJSONStatus([]byte(`{"state":"LOADING"}`), testTime)
	assert.ErrorIs(t, err, ErrLoading)
}

// Guards against a report that exhausts the memory or time of the daemon, and
// against accepting an error status or a redirect as a report.
func TestFetchErrors(t *testing.T) {
	tests := []struct {
		desc    string
		handler http.HandlerFunc
		want    error // nil: any error
	}{
		{
			desc:    "too large",
			handler: func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write(make([]byte, MaxReportBytes+1)) },
			want:    ErrReportTooLarge,
		},
		{
			desc: "body never ends",
			handler: func(w http.ResponseWriter, r *http.Request) {
				_ = http.NewResponseController(w).Flush()
				<-r.Context().Done()
			},
			want: context.DeadlineExceeded,
		},
		{
			desc:    "status 500",
			handler: func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusInternalServerError) },
		},
		{
			desc:    "redirect",
			handler: func(w http.ResponseWriter, r *http.Request) { http.Redirect(w, r, "/elsewhere", http.StatusFound) },
			want:    errRedirected,
		},
	}
	for _, test := range tests {
		t.Run(test.desc, func(t *testing.T) {
			server := httptest.NewServer(test.handler)
			defer server.Close()
			client := reportClient()
			defer client.CloseIdleConnections()
			_, err := fetch(t.Context(), client, server.Listener.Addr().String(), "/status")
			assert.Assert(t, err != nil)
			assert.Assert(t, test.want == nil || errors.Is(err, test.want), "%v", err)
		})
	}
}

// Guards against an adapter that requests the wrong path.
func TestAdapterPaths(t *testing.T) {
	mux := http.NewServeMux()
	server := httptest.NewServer(mux)
	defer server.Close()
	mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte(validPromText)) })
	mux.HandleFunc("GET /status", func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write([]byte(`{"status":"ok","inflight":1,"capacity":10,"state":"SERVING","slots_total":4,"slots_busy":1,"queue_depth":0,"kv_used":0}`))
	})
	for kind, adapter := range Adapters(server.Client()) {
		s, err := adapter.Report(t.Context(), Target{ID: "a", Addr: server.Listener.Addr().String(), Kind: kind})
		assert.NilError(t, err, "%s", kind)
		assert.Assert(t, s.Running > 0, "%s", kind)
		assert.Assert(t, !s.ReportedAt.IsZero(), "%s", kind)
	}
}
