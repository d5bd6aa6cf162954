package main

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/peppertrail/peppertrail/pkg/balance"
	"github.com/peppertrail/peppertrail/pkg/edge"
	"github.com/peppertrail/peppertrail/pkg/escrow"
)

// runTool runs the tool and returns its exit code and output.
func runTool(t *testing.T, args ...string) (int, string, string) {
	t.Helper()
	var stdout, stderr strings.Builder
	code := newApp(&stdout, &stderr, func(string) string { return "" }).run(t.Context(), args)
	return code, stdout.String(), stderr.String()
}

// Guards against one unreachable daemon suppressing the output of the others.
func TestEdgeCommandsReportUnreachableDaemon(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		assert.Check(t, json.NewEncoder(w).Encode(edge.State{
			Host: "edge-1", Ready: true, ConfigurationVersion: 7,
			Targets: []balance.Status{{Target: balance.Target{ID: "i-1", Service: "chef"}, Load: 2.5}},
			Budgets: []escrow.Status{{Customer: "regie", Prepaid: 1000, Held: 300}}, BlockedParts: []string{"c0ffee"}, BlockedRequests: []string{"request-7"},
		}))
	}))
	t.Cleanup(server.Close)
	address := strings.TrimPrefix(server.URL, "http://")
	for command, want := range map[string]string{"hosts": "edge-1", "budgets": "regie", "targets": "i-1", "blocked-parts": "c0ffee", "blocked-requests": "request-7"} {
		code, out, errs := runTool(t, "edge", command, "--at", address, "--at", "127.0.0.1:1")
		assert.Equal(t, code, exitFailed)
		assert.Assert(t, strings.Contains(out, want), out)
		assert.Assert(t, strings.Contains(errs, "127.0.0.1:1"), errs)
	}
	code, _, errs := runTool(t, "edge", "hosts")
	assert.Equal(t, code, exitUsage, errs)
}

// Guards against printing log lines of other requests, and against failing on log
// lines that are not JSON.
func TestExplainPrintsOneRequest(t *testing.T) {
	log := filepath.Join(t.TempDir(), "log")
	assert.NilError(t, os.WriteFile(log, []byte(`{"time":"1","component":"forward","request":"r1","reason":"no_target","message":"Refused."}
panic: r1
  0.5 edge-1 {"time":"2","component":"forward","request":"r2","message":"Served."}
`), 0o600))
	code, out, _ := runTool(t, "edge", "explain", "--request", "r1", "--log", log)
	assert.Equal(t, code, exitOK)
	assert.Equal(t, out, "1 forward: Refused.\n    reason: no_target\n")
	code, _, errs := runTool(t, "edge", "explain", "--request", "r3", "--log", log)
	assert.Equal(t, code, exitFailed)
	assert.Assert(t, strings.Contains(errs, "r3"))
}
