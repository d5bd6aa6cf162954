package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/integrii/flaggy"
	"gotest.tools/v3/assert"

	"github.com/peppertrail/peppertrail/pkg/admin"
	"github.com/peppertrail/peppertrail/pkg/bundle"
	"github.com/peppertrail/peppertrail/pkg/standin/faketable"
	"github.com/peppertrail/peppertrail/pkg/target"
	"github.com/peppertrail/peppertrail/pkg/telemetry"
)

// fakeBackend implements admin.Backend as a daemon with one target.
type fakeBackend struct{ drained string }

func (b *fakeBackend) Targets() []target.Status {
	return []target.Status{{Target: target.Target{ID: "t1", Service: "chef-llm"}, State: target.Ready}}
}

func (b *fakeBackend) Drain(_ context.Context, id string) error {
	if id != "t1" {
		return fmt.Errorf("%w %q", admin.ErrUnknownTarget, id)
	}
	b.drained = id
	return nil
}

func (b *fakeBackend) LiveHolders() []string { return []string{"d1"} }

func (b *fakeBackend) LocalRepairs() []admin.RepairEntry { return nil }

func (b *fakeBackend) Explain(string, string) []telemetry.Step {
	return []telemetry.Step{{At: time.Unix(0, 0), Kind: telemetry.StepTarget, Attempt: 1, Target: "t1"}}
}

// fixture provides a daemon's admin API, operator key files and the environment
// variables of the tool.
type fixture struct {
	t         *testing.T
	dir       string
	env       map[string]string
	table     *faketable.Table
	backend   *fakeBackend
	watcher   *bundle.Watcher
	operators map[string]bundle.Operator
}

func newFixture(t *testing.T) *fixture {
	t.Helper()
	flaggy.PanicInsteadOfExit = true
	f := &fixture{t: t, dir: t.TempDir(), env: map[string]string{}, table: faketable.New(), backend: &fakeBackend{}, operators: map[string]bundle.Operator{}}
	var bootstrap []bundle.Operator
	for _, name := range []string{"alice", "bob"} {
		out := f.mustSucceed("keys", "operator", "--name", name, "--out", f.path(name+".pem"), "--json")
		var entry bundle.Operator
		assert.NilError(t, json.Unmarshal([]byte(out), &entry))
		f.operators[name] = entry
		bootstrap = append(bootstrap, entry)
	}
	store := bundle.NewStore(f.table, bootstrap)
	f.watcher = bundle.NewWatcher(bundle.WatcherConfig{Store: store, Bootstrap: bootstrap})
	server := httptest.NewServer(admin.NewServer(admin.Config{Table: f.table, Store: store, Watcher: f.watcher, Backend: f.backend}))
	t.Cleanup(server.Close)
	f.env["PEPPERTRAIL_ADMIN"] = server.URL
	f.useOperator("alice")
	return f
}

func (f *fixture) path(name string) string { return filepath.Join(f.dir, name) }

// useOperator sets the operator of the following commands.
func (f *fixture) useOperator(name string) {
	f.env["PEPPERTRAIL_OPERATOR"] = name
	f.env["PEPPERTRAIL_KEY"] = f.path(name + ".pem")
}

// run runs the tool and returns its exit code and output.
func (f *fixture) run(args ...string) (code int, stdout, stderr string) {
	var out, errs bytes.Buffer
	code = newApp(&out, &errs, func(name string) string { return f.env[name] }).run(context.Background(), args)
	return code, out.String(), errs.String()
}

// mustSucceed runs the tool, requires success and returns its standard output.
func (f *fixture) mustSucceed(args ...string) string {
	f.t.Helper()
	code, out, errs := f.run(args...)
	assert.Equal(f.t, code, exitOK, "%v: %s", args, errs)
	return out
}

// mustFail runs the tool and requires the exit code want and all parts in its
// standard error.
func (f *fixture) mustFail(want int, parts []string, args ...string) {
	f.t.Helper()
	code, _, errs := f.run(args...)
	assert.Equal(f.t, code, want, "%v: %s", args, errs)
	for _, part := range parts {
		assert.Assert(f.t, strings.Contains(errs, part), "%v: %q lacks %q", args, errs, part)
	}
}

// writeBundle writes a bundle file and returns its path.
func (f *fixture) writeBundle(name string, b bundle.Bundle) string {
	f.t.Helper()
	raw, err := json.MarshalIndent(b, "", "  ")
	assert.NilError(f.t, err)
	assert.NilError(f.t, os.WriteFile(f.path(name), raw, 0o644))
	return f.path(name)
}

func (f *fixture) sampleBundle(base uint64) bundle.Bundle {
	return bundle.Bundle{
		Base:             base,
		Operators:        []bundle.Operator{f.operators["alice"], f.operators["bob"]},
		RequiredSignoffs: 2,
		Customers:        []bundle.Customer{{ID: "regie", Services: []string{"chef-llm"}, Budget: "regie-main"}},
		Services:         []bundle.Service{{Name: "chef-llm", Model: "chef", Kind: target.PromText}},
	}
}

// bringIntoForce submits a bundle as alice and signs it off as bob.
func (f *fixture) bringIntoForce(b bundle.Bundle) {
	f.t.Helper()
	path := f.writeBundle(fmt.Sprintf("v%d.json", b.Base+1), b)
	f.mustSucceed("bundle", "submit", path)
	digest, err := bundle.Digest(b)
	assert.NilError(f.t, err)
	f.useOperator("bob")
	f.mustSucceed("bundle", "sign", digest)
	f.useOperator("alice")
	assert.NilError(f.t, f.watcher.Poll(context.Background()))
}

// putRow stores a value as JSON in a row of the table.
func (f *fixture) putRow(key string, value any) {
	f.t.Helper()
	raw, err := json.Marshal(value)
	assert.NilError(f.t, err)
	f.table.Set(key, string(raw))
}
