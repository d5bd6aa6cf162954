package admin

import (
	"context"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/peppertrail/peppertrail/pkg/access"
)

// Guards against an endpoint that answers without a valid signature.
func TestEveryEndpointNeedsSignature(t *testing.T) {
	f := newTestServerWithBundle(t)
	endpoints := []string{
		"POST /bundles", "GET /bundles/current", "GET /bundles/status", "GET /bundles/versions/1",
		"GET /bundles/proposals", "GET /bundles/proposals/d", "POST /bundles/proposals/d/signoffs",
		"GET /customers", "GET /customers/regie/bill", "GET /budgets", "POST /budgets", "GET /budgets/b",
		"POST /budgets/b/topups", "GET /requests/regie/r", "GET /targets", "POST /targets/t/drain",
		"GET /hosts", "GET /repairs",
	}
	for _, endpoint := range endpoints {
		method, path, _ := strings.Cut(endpoint, " ")
		r, err := http.NewRequest(method, f.url+apiPrefix+path, nil)
		assert.NilError(t, err)
		response, err := http.DefaultClient.Do(r)
		assert.NilError(t, err)
		body, err := io.ReadAll(response.Body)
		assert.NilError(t, err)
		response.Body.Close()
		assert.Equal(t, response.StatusCode, http.StatusUnauthorized, endpoint)
		assert.Assert(t, strings.Contains(string(body), access.OperatorHeader), "%s: %s", endpoint, body)
	}
}

// Guards against accepting keys that the bundle in force does not list: keys of
// unknown operators, bootstrap keys after the first bundle, and a wrong key under the
// name of a known operator.
func TestOperatorsOfBundleInForce(t *testing.T) {
	ctx := context.Background()
	f := newTestServer(t)
	_, err := f.clientAs("carol").Hosts(ctx)
	requireError(t, err, Unauthorized, "carol")
	_, err = f.clientAs("alice").Hosts(ctx)
	assert.NilError(t, err)

	b := sampleBundle(0)
	b.Operators = operatorsNamed("carol", "dave")
	f.acceptBundle(t, b)
	// Before the watcher's next poll, operators are taken from the table, not from the
	// bootstrap keys.
	_, err = f.clientAs("alice").Hosts(ctx)
	requireError(t, err, Unauthorized, "alice")
	assert.NilError(t, f.watcher.Poll(ctx))
	_, err = f.clientAs("alice").Hosts(ctx)
	requireError(t, err, Unauthorized, "alice")
	_, err = f.clientAs("carol").Hosts(ctx)
	assert.NilError(t, err)
	impostor := f.clientAs("carol")
	impostor.Signer.Key = operatorKey("mallory")
	_, err = impostor.Hosts(ctx)
	requireError(t, err, Unauthorized, "does not match")
}

// Guards against accepting bootstrap keys at a new daemon during a platform outage,
// and against an outage that is reported as a refusal.
func TestPlatformOutage(t *testing.T) {
	ctx := context.Background()
	f := newTestServer(t)
	f.table.SetDown(true)
	_, err := f.clientAs("alice").Hosts(ctx)
	e := requireError(t, err, Unavailable, "repeat")
	assert.Equal(t, e.RetryAfter, 2*time.Second)

	serving := newTestServerWithBundle(t)
	serving.table.SetDown(true)
	_, err = serving.clientAs("alice").Hosts(ctx)
	requireError(t, err, Unavailable)
	_, err = serving.clientAs("alice").TopUp(ctx, "regie-main", TopUp{ID: "a", Tokens: 1})
	requireError(t, err, Unavailable, "not applied twice")
	// Data that the daemon holds in memory stays available.
	_, err = serving.clientAs("alice").Targets(ctx)
	assert.NilError(t, err)
	_, err = serving.clientAs("alice").Customers(ctx)
	assert.NilError(t, err)
}

// Guards against answering unknown paths and methods with plain text, which the
// client cannot decode.
func TestUnknownEndpoint(t *testing.T) {
	f := newTestServerWithBundle(t)
	err := f.clientAs("alice").do(context.Background(), request{method: "GET", path: "/nope"}, nil)
	requireError(t, err, NotFound, "/admin/v1/nope")
	err = f.clientAs("alice").do(context.Background(), request{method: "DELETE", path: "/hosts"}, nil)
	requireError(t, err, BadRequest, "does not take DELETE", "GET")
}

// Guards against calls that are not reported to OnCall and are missing from the
// audit log.
func TestCallsAreReported(t *testing.T) {
	ctx := context.Background()
	f := newTestServerWithBundle(t)
	f.calls = nil
	_, err := f.clientAs("alice").Hosts(ctx)
	assert.NilError(t, err)
	_, err = f.clientAs("mallory").Hosts(ctx)
	assert.Assert(t, err != nil)
	assert.Equal(t, len(f.calls), 2)
	assert.Equal(t, f.calls[0].Operator, "alice")
	assert.Equal(t, f.calls[0].Status, http.StatusOK)
	assert.Equal(t, f.calls[1].Operator, "")
	assert.Equal(t, f.calls[1].Status, http.StatusUnauthorized)
}
