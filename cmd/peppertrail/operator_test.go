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

// Guards against a bundle that cannot be brought into force with the tool
// alone, from new keys to the version in force.
func TestBundleFromKeysToForce(t *testing.T) {
	f := newFixture(t)
	path := f.write("first.json", f.sample(0))
	assertContains(t, f.ok("bundle", "check", path), "becomes version 1")
	assertContains(t, f.ok("bundle", "diff", path), "+ customers[regie]")
	out := f.ok("bundle", "submit", path)
	assertContains(t, out, "1 of 2 sign-offs", "may be signed by bob")
	digest, err := bundle.Digest(f.sample(0))
	assert.NilError(t, err)
	assertContains(t, f.ok("bundle", "status"), "no version is in force", digest, "waits")
	assertContains(t, f.ok("bundle", "diff", path, "proposal:"+digest), "no change")

	f.as("bob")
	out = f.ok("bundle", "sign", digest[:minDigestDigits])
	assertContains(t, out, "+ customers[regie]", "version 1 is in force")
	f.put(lease.HolderKey("d1"), lease.HolderRecord{Incarnation: "d1", Host: "h1", BundleVersion: 0})
	assertContains(t, f.ok("bundle", "status"), "version 1 is in force", "1 active holders report a lower version", "h1")

	var shown bundle.Bundle
	assert.NilError(t, json.Unmarshal([]byte(f.ok("bundle", "show")), &shown))
	assert.Equal(t, shown.Version, uint64(1))
	var start bundle.Bundle
	assert.NilError(t, json.Unmarshal([]byte(f.ok("bundle", "show", "v1", "--next")), &start))
	assert.DeepEqual(t, bundle.Normalized(start), bundle.Normalized(f.sample(1)))
	next := f.sample(1)
	next.Customers[0].MaxPriority = 7
	assertContains(t, f.ok("bundle", "diff", "v1", f.write("next.json", next)), "~ customers[regie].max_priority: 0 -> 7")
}

// Guards against a failed command that does not say which value is wrong, or
// that ends with the wrong exit code.
func TestBundleRefusals(t *testing.T) {
	f := newFixture(t)
	f.fails(exitUsage, []string{"bundle", "absent.json"}, "bundle", "check", f.path("absent.json"))
	bad := f.sample(0)
	bad.RequiredSignoffs = 7
	path := f.write("bad.json", bad)
	f.fails(exitUsage, []string{"required_signoffs: 7", "1 to 2"}, "bundle", "check", path)
	f.fails(exitUsage, []string{"required_signoffs: 7"}, "bundle", "submit", path)
	f.fails(exitFailed, []string{"no bundle is in force"}, "bundle", "show")
	f.fails(exitUsage, []string{"digest", "abc", "16 digits"}, "bundle", "sign", "abc")
	f.fails(exitUsage, []string{"0 match"}, "bundle", "sign", strings.Repeat("0", 64))

	f.bring(f.sample(0))
	stale := f.sample(0)
	stale.Customers[0].MaxPriority = 1
	f.fails(exitFailed, []string{"version 1 is in force", "set base to 1"}, "bundle", "submit", f.write("stale.json", stale))
}

// Guards against money commands that apply twice or accept a wrong amount.
func TestBudgets(t *testing.T) {
	f := newFixture(t)
	f.fails(exitFailed, []string{"no bundle is in force"}, "budgets", "create", "regie-main", "--customer", "regie")
	f.bring(f.sample(0))
	assertContains(t, f.ok("budgets", "create", "regie-main", "--customer", "regie", "--tokens", "100"), "limit 100")
	assertContains(t, f.ok("budgets", "topup", "regie-main", "--id", "order-1", "--tokens", "50"), "limit 150")
	assertContains(t, f.ok("budgets", "topup", "regie-main", "--id", "order-1", "--tokens", "50"), "nothing changed", "limit 150")
	f.fails(exitFailed, []string{"order-1"}, "budgets", "topup", "regie-main", "--id", "order-1", "--tokens", "51")
	f.fails(exitUsage, []string{"--tokens", "-5", "from 1 to"}, "budgets", "topup", "regie-main", "--id", "x", "--tokens", "-5")
	f.fails(exitUsage, []string{"--id"}, "budgets", "topup", "regie-main", "--tokens", "5")
	f.fails(exitUsage, []string{"reggie"}, "budgets", "create", "b", "--customer", "reggie")
	f.fails(exitFailed, []string{"does not exist"}, "budgets", "show", "nope")
	f.put(budget.GrantKey("d1", "g1"), budget.GrantRecord{ID: "g1", Holder: "d1", Budget: "regie-main", Amount: 30, Used: 4, State: budget.GrantOpen})
	assertContains(t, f.ok("budgets", "show", "regie-main"), "order-1", "g1", "d1")
	var list []budget.Record
	assert.NilError(t, json.Unmarshal([]byte(f.ok("budgets", "list", "--json")), &list))
	assert.Equal(t, list[0].Limit, int64(150))
}

// Guards against the other commands failing or leaving out what they read.
func TestFleetCommands(t *testing.T) {
	f := newFixture(t)
	f.bring(f.sample(0))
	f.put(lease.HolderKey("d1"), lease.HolderRecord{Incarnation: "d1", Host: "h1", BundleVersion: 1})
	f.put(budget.LineKey("regie", "r1"), budget.Line{Customer: "regie", Request: "r1", Tokens: 12, ExtraTokens: 4, Completed: true, Attempts: 2})
	f.table.Set("repair/2026-x", `{"text":"closed"}`)
	assertContains(t, f.ok("customers", "list"), "regie", "chef-llm")
	assertContains(t, f.ok("bill", "regie"), "r1", "1 lines, 12 tokens billed, 4 extra")
	assertContains(t, f.ok("targets", "list"), "t1", "ready")
	assertContains(t, f.ok("targets", "drain", "t1"), "no new work")
	assert.Equal(t, f.backend.drained, "t1")
	f.fails(exitFailed, []string{"t2"}, "targets", "drain", "t2")
	assertContains(t, f.ok("hosts", "list"), "h1", "live")
	assertContains(t, f.ok("requests", "show", "regie", "r1"), "billed once", "12 tokens", "decisions of this daemon", "target")
	assertContains(t, f.ok("repairs", "list"), "2026-x", "closed")
	var reply admin.HostsReply
	assert.NilError(t, json.Unmarshal([]byte(f.ok("--json", "hosts", "list")), &reply))
	assert.Equal(t, reply.Holders[0].Host, "h1")
}

// Guards against settings whose error does not name the flag, and against a
// key file that others can read.
func TestSettings(t *testing.T) {
	f := newFixture(t)
	f.fails(exitUsage, []string{"--admin", "ftp://x"}, "hosts", "list", "--admin", "ftp://x")
	f.fails(exitUsage, []string{"--operator", "a b"}, "hosts", "list", "--operator", "a b")
	f.fails(exitFailed, []string{"absent.pem"}, "hosts", "list", "--key", f.path("absent.pem"))
	f.fails(exitFailed, []string{"CA file"}, "hosts", "list", "--ca", f.path("absent.pem"))
	f.fails(exitFailed, []string{"mallory"}, "hosts", "list", "--operator", "mallory")
	assert.NilError(t, os.Chmod(f.path("alice.pem"), 0o644))
	f.fails(exitFailed, []string{"chmod 600"}, "hosts", "list")
	f.env = map[string]string{}
	f.fails(exitUsage, []string{"--admin"}, "hosts", "list")
}

// Guards against an outage ending with the code of bad input, or without the
// time of the next attempt.
func TestOutage(t *testing.T) {
	f := newFixture(t)
	f.bring(f.sample(0))
	f.table.SetDown(true)
	f.fails(exitFailed, []string{"platform does not answer", "retry after 2s"}, "hosts", "list")
}

// Guards against a private or API key being printed.
func TestKeysAreNotPrinted(t *testing.T) {
	f := newFixture(t)
	out := f.ok("keys", "customer", "--out", f.path("caller.key"))
	key, err := access.ReadAPIKey(f.path("caller.key"))
	assert.NilError(t, err)
	assert.Assert(t, !strings.Contains(out, key))
	assertContains(t, out, access.HashAPIKey(key))
	f.fails(exitFailed, []string{"exists"}, "keys", "customer", "--out", f.path("caller.key"))
	f.fails(exitUsage, []string{"--name"}, "keys", "operator", "--out", f.path("x.pem"))
	f.fails(exitUsage, []string{"--out"}, "keys", "operator", "--name", "x")
}

// Guards against a wrong command line ending with success.
func TestUsage(t *testing.T) {
	f := newFixture(t)
	code, _, _ := f.run()
	assert.Equal(t, code, exitUsage)
	code, _, _ = f.run("bundle")
	assert.Equal(t, code, exitUsage)
	for _, args := range [][]string{{"nonsense"}, {"hosts", "list", "--nonsense"}, {"budgets", "show"}} {
		assert.Equal(t, exitOf(f, args), exitUsage, "%v", args)
	}
	assert.Equal(t, exitOf(f, []string{"--help"}), exitOK)
	assert.Equal(t, exitOf(f, []string{"--version"}), exitOK)
}

// exitOf runs the tool where the parser itself exits.
func exitOf(f *fixture, args []string) (code int) {
	defer func() {
		if r := recover(); r != nil {
			code = codeFromPanic(r)
		}
	}()
	code, _, _ = f.run(args...)
	return code
}

// codeFromPanic reads the code that the parser would have exited with.
func codeFromPanic(r any) int {
	text, _ := r.(string)
	if strings.HasSuffix(text, "code: 0") {
		return exitOK
	}
	if strings.HasSuffix(text, "code: 2") {
		return exitUsage
	}
	return -1
}
