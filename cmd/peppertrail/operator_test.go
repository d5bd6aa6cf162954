package main

import (
	"encoding/json"
	"os"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/peppertrail/peppertrail/pkg/access"
	"github.com/peppertrail/peppertrail/pkg/admin"
	"github.com/peppertrail/peppertrail/pkg/budget"
	"github.com/peppertrail/peppertrail/pkg/bundle"
	"github.com/peppertrail/peppertrail/pkg/lease"
)

func assertContains(t *testing.T, text string, parts ...string) {
	t.Helper()
	for _, part := range parts {
		assert.Assert(t, strings.Contains(text, part), "%q lacks %q", text, part)
	}
}

// Guards against a tool that cannot perform all the steps from generating operator keys
// to bringing a bundle into force.
func TestBundleBroughtIntoForceFromNewKeys(t *testing.T) {
	f := newFixture(t)
	path := f.writeBundle("first.json", f.sampleBundle(0))
	assertContains(t, f.mustSucceed("bundle", "check", path), "becomes version 1")
	assertContains(t, f.mustSucceed("bundle", "diff", path), "+ customers[regie]")
	out := f.mustSucceed("bundle", "submit", path)
	assertContains(t, out, "1 of 2 sign-offs", "may be signed by bob")
	digest, err := bundle.Digest(f.sampleBundle(0))
	assert.NilError(t, err)
	assertContains(t, f.mustSucceed("bundle", "status"), "no version is in force", digest, "waits")
	assertContains(t, f.mustSucceed("bundle", "diff", path, "proposal:"+digest), "no change")

	f.useOperator("bob")
	out = f.mustSucceed("bundle", "sign", digest[:minDigestDigits])
	assertContains(t, out, "+ customers[regie]", "version 1 is in force")
	f.putRow(lease.HolderKey("d1"), lease.HolderRecord{Incarnation: "d1", Host: "h1", BundleVersion: 0})
	assertContains(t, f.mustSucceed("bundle", "status"), "version 1 is in force", "1 active holders report a lower version", "h1")

	var shown bundle.Bundle
	assert.NilError(t, json.Unmarshal([]byte(f.mustSucceed("bundle", "show")), &shown))
	assert.Equal(t, shown.Version, uint64(1))
	var start bundle.Bundle
	assert.NilError(t, json.Unmarshal([]byte(f.mustSucceed("bundle", "show", "v1", "--next")), &start))
	assert.DeepEqual(t, bundle.Normalized(start), bundle.Normalized(f.sampleBundle(1)))
	next := f.sampleBundle(1)
	next.Customers[0].MaxPriority = 7
	assertContains(t, f.mustSucceed("bundle", "diff", "v1", f.writeBundle("next.json", next)), "~ customers[regie].max_priority: 0 -> 7")
}

// Guards against bundle commands that fail without naming the invalid value or
// with the wrong exit code.
func TestBundleErrorsNameInvalidValue(t *testing.T) {
	f := newFixture(t)
	f.mustFail(exitUsage, []string{"bundle", "absent.json"}, "bundle", "check", f.path("absent.json"))
	bad := f.sampleBundle(0)
	bad.RequiredSignoffs = 7
	path := f.writeBundle("bad.json", bad)
	f.mustFail(exitUsage, []string{"required_signoffs: 7", "1 to 2"}, "bundle", "check", path)
	f.mustFail(exitUsage, []string{"required_signoffs: 7"}, "bundle", "submit", path)
	f.mustFail(exitFailed, []string{"no bundle is in force"}, "bundle", "show")
	f.mustFail(exitUsage, []string{"digest", "abc", "16 digits"}, "bundle", "sign", "abc")
	f.mustFail(exitUsage, []string{"0 match"}, "bundle", "sign", strings.Repeat("0", 64))

	f.bringIntoForce(f.sampleBundle(0))
	stale := f.sampleBundle(0)
	stale.Customers[0].MaxPriority = 1
	f.mustFail(exitFailed, []string{"version 1 is in force", "set base to 1"}, "bundle", "submit", f.writeBundle("stale.json", stale))
}

// Guards against budget commands that apply a repeated top-up twice or accept an
// invalid amount.
func TestBudgetCommandsApplyOnce(t *testing.T) {
	f := newFixture(t)
	f.mustFail(exitFailed, []string{"no bundle is in force"}, "budgets", "create", "regie-main", "--customer", "regie")
	f.bringIntoForce(f.sampleBundle(0))
	assertContains(t, f.mustSucceed("budgets", "create", "regie-main", "--customer", "regie", "--tokens", "100"), "limit 100")
	assertContains(t, f.mustSucceed("budgets", "topup", "regie-main", "--id", "order-1", "--tokens", "50"), "limit 150")
	assertContains(t, f.mustSucceed("budgets", "topup", "regie-main", "--id", "order-1", "--tokens", "50"), "nothing changed", "limit 150")
	f.mustFail(exitFailed, []string{"order-1"}, "budgets", "topup", "regie-main", "--id", "order-1", "--tokens", "51")
	f.mustFail(exitUsage, []string{"--tokens", "-5", "from 1 to"}, "budgets", "topup", "regie-main", "--id", "x", "--tokens", "-5")
	f.mustFail(exitUsage, []string{"--id"}, "budgets", "topup", "regie-main", "--tokens", "5")
	f.mustFail(exitUsage, []string{"reggie"}, "budgets", "create", "b", "--customer", "reggie") // misspelt customer
	f.mustFail(exitFailed, []string{"does not exist"}, "budgets", "show", "nope")
	f.putRow(budget.GrantKey("d1", "g1"), budget.GrantRecord{ID: "g1", Holder: "d1", Budget: "regie-main", Amount: 30, Used: 4, State: budget.GrantOpen})
	assertContains(t, f.mustSucceed("budgets", "show", "regie-main"), "order-1", "g1", "d1")
	var list []budget.Record
	assert.NilError(t, json.Unmarshal([]byte(f.mustSucceed("budgets", "list", "--json")), &list))
	assert.Equal(t, list[0].Limit, int64(150))
}

// Guards against commands on customers, bills, targets, hosts, requests and repairs
// that fail or omit stored values.
func TestReadCommandsPrintStoredRows(t *testing.T) {
	f := newFixture(t)
	f.bringIntoForce(f.sampleBundle(0))
	f.putRow(lease.HolderKey("d1"), lease.HolderRecord{Incarnation: "d1", Host: "h1", BundleVersion: 1})
	f.putRow(budget.LineKey("regie", "r1"), budget.Line{Customer: "regie", Request: "r1", Tokens: 12, ExtraTokens: 4, Completed: true, Attempts: 2})
	f.table.Set("repair/2026-x", `{"text":"closed"}`)
	assertContains(t, f.mustSucceed("customers", "list"), "regie", "chef-llm")
	assertContains(t, f.mustSucceed("bill", "regie"), "r1", "1 lines, 12 tokens billed, 4 extra")
	assertContains(t, f.mustSucceed("targets", "list"), "t1", "ready")
	assertContains(t, f.mustSucceed("targets", "drain", "t1"), "no new work")
	assert.Equal(t, f.backend.drained, "t1")
	f.mustFail(exitFailed, []string{"t2"}, "targets", "drain", "t2")
	assertContains(t, f.mustSucceed("hosts", "list"), "h1", "live")
	assertContains(t, f.mustSucceed("requests", "show", "regie", "r1"), "billed once", "12 tokens", "decisions of this daemon", "target")
	assertContains(t, f.mustSucceed("repairs", "list"), "2026-x", "closed")
	var reply admin.HostsReply
	assert.NilError(t, json.Unmarshal([]byte(f.mustSucceed("--json", "hosts", "list")), &reply))
	assert.Equal(t, reply.Holders[0].Host, "h1")
}

// Guards against errors that do not name the invalid setting, and against accepting
// a key file that other users can read.
func TestInvalidSettingsNameFlag(t *testing.T) {
	f := newFixture(t)
	f.mustFail(exitUsage, []string{"--admin", "ftp://x"}, "hosts", "list", "--admin", "ftp://x")
	f.mustFail(exitUsage, []string{"--operator", "a b"}, "hosts", "list", "--operator", "a b")
	f.mustFail(exitFailed, []string{"absent.pem"}, "hosts", "list", "--key", f.path("absent.pem"))
	f.mustFail(exitFailed, []string{"CA file"}, "hosts", "list", "--ca", f.path("absent.pem"))
	f.mustFail(exitFailed, []string{"mallory"}, "hosts", "list", "--operator", "mallory")
	assert.NilError(t, os.Chmod(f.path("alice.pem"), 0o644))
	f.mustFail(exitFailed, []string{"chmod 600"}, "hosts", "list")
	f.env = map[string]string{}
	f.mustFail(exitUsage, []string{"--admin"}, "hosts", "list")
}

// Guards against a platform outage that is reported with the exit code of bad input
// or without the time to wait before the next attempt.
func TestPlatformOutagePrintsRetryTime(t *testing.T) {
	f := newFixture(t)
	f.bringIntoForce(f.sampleBundle(0))
	f.table.SetDown(true)
	f.mustFail(exitFailed, []string{"platform does not answer", "retry after 2s"}, "hosts", "list")
}

// Guards against printing an API key, and against overwriting a key file.
func TestKeysAreNotPrinted(t *testing.T) {
	f := newFixture(t)
	out := f.mustSucceed("keys", "customer", "--out", f.path("caller.key"))
	key, err := access.ReadAPIKey(f.path("caller.key"))
	assert.NilError(t, err)
	assert.Assert(t, !strings.Contains(out, key))
	assertContains(t, out, access.HashAPIKey(key))
	f.mustFail(exitFailed, []string{"exists"}, "keys", "customer", "--out", f.path("caller.key"))
	f.mustFail(exitUsage, []string{"--name"}, "keys", "operator", "--out", f.path("x.pem"))
	f.mustFail(exitUsage, []string{"--out"}, "keys", "operator", "--name", "x")
}

// Guards against an invalid command line that ends with exit code 0.
func TestInvalidCommandLineExitCode(t *testing.T) {
	f := newFixture(t)
	code, _, _ := f.run()
	assert.Equal(t, code, exitUsage)
	code, _, _ = f.run("bundle")
	assert.Equal(t, code, exitUsage)
	for _, args := range [][]string{{"nonsense"}, {"hosts", "list", "--nonsense"}, {"budgets", "show"}} {
		assert.Equal(t, exitCode(f, args), exitUsage, "%v", args)
	}
	assert.Equal(t, exitCode(f, []string{"--help"}), exitOK)
	assert.Equal(t, exitCode(f, []string{"--version"}), exitOK)
}

// exitCode returns the exit code of the tool, also if the parser exits the process,
// which the fixture turns into a panic.
func exitCode(f *fixture, args []string) (code int) {
	defer func() {
		if r := recover(); r != nil {
			code = exitCodeFromPanic(r)
		}
	}()
	code, _, _ = f.run(args...)
	return code
}

// exitCodeFromPanic returns the code that the parser would have exited with, or -1.
func exitCodeFromPanic(r any) int {
	text, _ := r.(string)
	if strings.HasSuffix(text, "code: 0") {
		return exitOK
	}
	if strings.HasSuffix(text, "code: 2") {
		return exitUsage
	}
	return -1
}
