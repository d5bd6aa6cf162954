package telemetry

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/peppertrail/peppertrail/pkg/verdict"
	"gotest.tools/v3/assert"
)

// Guards against log lines without their component and against lines below the
// configured level.
func TestLoggerComponent(t *testing.T) {
	cases := []struct{ desc, format, want string }{
		{"json", JSONFormat, `"component":"gateway"`},
		{"console", ConsoleFormat, "gateway: listening addr=x\n"},
	}
	for _, tc := range cases {
		t.Run(tc.desc, func(t *testing.T) {
			var out bytes.Buffer
			logs, err := NewLogs("info", tc.format, &out)
			assert.NilError(t, err)
			logger := logs.Logger("gateway")
			logger.Debug().Msg("hidden")
			logger.Info().Str("addr", "x").Msg("listening")
			assert.Assert(t, strings.Contains(out.String(), tc.want), out.String())
			assert.Assert(t, !strings.Contains(out.String(), "hidden"))
		})
	}
}

// Guards against accepting an invalid level or format, which would disable logging.
func TestNewLogsRefusesUnknownValues(t *testing.T) {
	_, err := NewLogs("loud", JSONFormat, &bytes.Buffer{})
	assert.ErrorContains(t, err, "loud")
	_, err = NewLogs("fatal", JSONFormat, &bytes.Buffer{})
	assert.ErrorContains(t, err, "fatal")
	_, err = NewLogs("info", "xml", &bytes.Buffer{})
	assert.ErrorContains(t, err, "xml")
}

// Guards against invalid JSON when several components log concurrently.
func TestConcurrentLoggersWriteWholeLines(t *testing.T) {
	var out bytes.Buffer
	logs, err := NewLogs("info", JSONFormat, &out)
	assert.NilError(t, err)
	var wg sync.WaitGroup
	for i := range 8 {
		wg.Go(func() {
			logger := logs.Logger(fmt.Sprintf("c%d", i))
			for range 50 {
				logger.Info().Msg("line")
			}
		})
	}
	wg.Wait()
	lines := strings.Split(strings.TrimSpace(out.String()), "\n")
	assert.Equal(t, len(lines), 400)
	for _, line := range lines {
		assert.Assert(t, json.Valid([]byte(line)), line)
	}
}

func scrape(t *testing.T, m *Metrics) string {
	t.Helper()
	recorder := httptest.NewRecorder()
	m.Handler().ServeHTTP(recorder, httptest.NewRequest("GET", "/metrics", nil))
	return recorder.Body.String()
}

// Guards against series of closed label sets that do not exist until their first
// occurrence.
func TestClosedLabelsStartAtZero(t *testing.T) {
	m := NewMetrics()
	m.SetServices([]string{"chef-llm"})
	text := scrape(t, m)
	for _, r := range verdict.Reasons() {
		assert.Assert(t, strings.Contains(text, fmt.Sprintf("peppertrail_retries_total{reason=%q} 0\n", r)), "%s", r)
		for _, v := range verdicts() {
			line := fmt.Sprintf("peppertrail_refusals_total{reason=%q,verdict=%q} 0\n", r, v)
			assert.Assert(t, strings.Contains(text, line), line)
		}
	}
	for _, o := range outcomes() {
		line := fmt.Sprintf("peppertrail_requests_total{outcome=%q,service=\"chef-llm\"} 0\n", o)
		assert.Assert(t, strings.Contains(text, line), line)
	}
	for _, o := range commitOutcomes() {
		assert.Assert(t, strings.Contains(text, fmt.Sprintf("peppertrail_commits_total{outcome=%q} 0\n", o)))
	}
	for _, k := range repairKinds() {
		assert.Assert(t, strings.Contains(text, fmt.Sprintf("peppertrail_repairs_total{kind=%q} 0\n", k)))
	}
}

// Guards against a method that updates the wrong metric.
func TestMetricsUpdateTheirOwnSeries(t *testing.T) {
	m := NewMetrics()
	m.Refused(verdict.New(verdict.NotRun, verdict.NoTarget, "none"))
	m.Retried(verdict.TargetFailed)
	m.Finished("s", OutcomeCompleted)
	m.Billed("s", 12)
	m.FirstToken(2 * time.Millisecond)
	m.StreamOpened()
	m.StreamOpened()
	m.StreamClosed()
	m.Committed(CommitFenced)
	m.Repaired(RepairLateLine)
	m.SetBundle(7, 1500*time.Millisecond)
	m.SetPendingSettlements(3)
	text := scrape(t, m)
	for _, line := range []string{
		`refusals_total{reason="no_target",verdict="not_run"} 1`,
		`retries_total{reason="target_failed"} 1`,
		`requests_total{outcome="completed",service="s"} 1`,
		`tokens_billed_total{service="s"} 12`,
		`first_token_added_seconds_bucket{le="0.002"} 1`,
		`open_streams 1`,
		`commits_total{outcome="fenced"} 1`,
		`repairs_total{kind="late_line"} 1`,
		`bundle_version 7`,
		`bundle_unconfirmed_seconds 1.5`,
		`pending_settlements 3`,
	} {
		assert.Assert(t, strings.Contains(text, "peppertrail_"+line+"\n"), line)
	}
}

// Guards against a journal that grows without limit or drops recent requests.
func TestJournalLimitsRequestsAndSteps(t *testing.T) {
	j := NewJournal(2)
	for _, id := range []string{"a", "b", "c"} {
		j.Add("cust", id, Step{Kind: StepAdmitted})
	}
	steps, _ := j.Explain("cust", "a")
	assert.Equal(t, len(steps), 0)
	steps, _ = j.Explain("cust", "c")
	assert.Equal(t, len(steps), 1)
	for i := range maxStepsPerRequest + 5 {
		j.Add("cust", "b", Step{Kind: StepFailed, Attempt: i})
	}
	steps, dropped := j.Explain("cust", "b")
	assert.Equal(t, len(steps), maxStepsPerRequest)
	assert.Equal(t, dropped, 6)
	assert.Equal(t, steps[maxStepsPerRequest-1].Attempt, maxStepsPerRequest+4)
	assert.Equal(t, len(j.records), 2)
}

// Guards against returning the request of another customer with the same id.
func TestJournalSeparatesCustomers(t *testing.T) {
	j := NewJournal(4)
	j.Add("one", "id", Step{Kind: StepAdmitted})
	steps, _ := j.Explain("two", "id")
	assert.Equal(t, len(steps), 0)
}
