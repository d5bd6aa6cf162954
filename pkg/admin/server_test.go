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
	f := newServing(t)
	endpoints := []string{
		"POST /bundles", "GET /bundles/current", "GET /bundles/status", "GET /bundles/versions/1",
		"GET /bundles/proposals", "GET /bundles/proposals/d", "POST /bundles/proposals/d/signoffs",
		"GET /customers", "GET /customers/regie/bill", "GET /budgets", "POST /budgets", "GET /budgets/b",
		"POST /budgets/b/topups", "GET /requests/regie/r", "GET /targets", "POST /targets/t/drain",
		"GET /hosts", "GET /repairs",
	}
	for _, endpoint := range endpoints {
		method, path, _ := strings.Cut(endpoint, " ")
		r, err := http.NewRequest(method, f.url+prefix+path, nil)
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

// Guards against keys that the bundle in force does not list: strangers,
// bootstrap keys after the first bundle, and a wrong key under a known name.
func TestOperatorsOfBundleInForce(t *testing.T) {
	ctx := context.Background()
	f := newFleet(t)
	_, err := f.as("carol").Hosts(ctx)
	mustFail(t, err, Unauthorized, "carol")
	_, err = f.as("alice").Hosts(ctx)
	assert.NilError(t, err)

	b := sample(0)
	b.Operators = operatorsOf("carol", "dave")
	f.bring(t, b)
	// Before the next poll the table decides, not the bootstrap keys.
	_, err = f.as("alice").Hosts(ctx)
	mustFail(t, err, Unauthorized, "alice")
	assert.NilError(t, f.watcher.Poll(ctx))
	_, err = f.as("alice").Hosts(ctx)
	mustFail(t, err, Unauthorized, "alice")
	_, err = f.as("carol").Hosts(ctx)
	assert.NilError(t, err)
	impostor := f.as("carol")
	impostor.Signer.Key = keyOf("mallory")
	_, err = impostor.Hosts(ctx)
	mustFail(t, err, Unauthorized, "does not match")
}

// Guards against bootstrap keys opening a new daemon in an outage, and against
// an outage being reported as a refusal.
func TestOutage(t *testing.T) {
	ctx := context.Background()
	f := newFleet(t)
	f.table.SetDown(true)
	_, err := f.as("alice").Hosts(ctx)
	e := mustFail(t, err, Unavailable, "repeat")
	assert.Equal(t, e.RetryAfter, 2*time.Second)

	serving := newServing(t)
	serving.table.SetDown(true)
	_, err = serving.as("alice").Hosts(ctx)
	mustFail(t, err, Unavailable)
	_, err = serving.as("alice").TopUp(ctx, "regie-main", TopUp{ID: "a", Tokens: 1})
	mustFail(t, err, Unavailable, "not applied twice")
	// What the daemon knows by itself stays available.
	_, err = serving.as("alice").Targets(ctx)
	assert.NilError(t, err)
	_, err = serving.as("alice").Customers(ctx)
	assert.NilError(t, err)
}

// Guards against wrong paths and methods being answered with plain text, which
// the client cannot read.
func TestUnknownEndpoint(t *testing.T) {
	f := newServing(t)
	err := f.as("alice").do(context.Background(), request{method: "GET", path: "/nope"}, nil)
	mustFail(t, err, NotFound, "/admin/v1/nope")
	err = f.as("alice").do(context.Background(), request{method: "DELETE", path: "/hosts"}, nil)
	mustFail(t, err, BadRequest, "does not take DELETE", "GET")
}

// Guards against calls that leave no trace for the audit.
func TestCallsAreReported(t *testing.T) {
	ctx := context.Background()
	f := newServing(t)
	f.calls = nil
	_, err := f.as("alice").Hosts(ctx)
	assert.NilError(t, err)
	_, err = f.as("mallory").Hosts(ctx)
	assert.Assert(t, err != nil)
	assert.Equal(t, len(f.calls), 2)
	assert.Equal(t, f.calls[0].Operator, "alice")
	assert.Equal(t, f.calls[0].Status, http.StatusOK)
	assert.Equal(t, f.calls[1].Operator, "")
	assert.Equal(t, f.calls[1].Status, http.StatusUnauthorized)
}
