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

// fakeBackend is a daemon with one target.
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

// fixture is a daemon's admin API, operator key files and an environment.
type fixture struct {
	t       *testing.T
	dir     string
	env     map[string]string
	table   *faketable.Table
	backend *fakeBackend
	watcher *bundle.Watcher
	entries map[string]bundle.Operator
}

func newFixture(t *testing.T) *fixture {
	t.Helper()
	flaggy.PanicInsteadOfExit = true
	f := &fixture{t: t, dir: t.TempDir(), env: map[string]string{}, table: faketable.New(), backend: &fakeBackend{}, entries: map[string]bundle.Operator{}}
	var bootstrap []bundle.Operator
	for _, name := range []string{"alice", "bob"} {
		out := f.ok("keys", "operator", "--name", name, "--out", f.path(name+".pem"), "--json")
		var entry bundle.Operator
		assert.NilError(t, json.Unmarshal([]byte(out), &entry))
		f.entries[name] = entry
		bootstrap = append(bootstrap, entry)
	}
	store := bundle.NewStore(f.table, bootstrap)
	f.watcher = bundle.NewWatcher(bundle.WatcherConfig{Store: store, Bootstrap: bootstrap})
	listener := httptest.NewServer(admin.NewServer(admin.Config{Table: f.table, Store: store, Watcher: f.watcher, Backend: f.backend}))
	t.Cleanup(listener.Close)
	f.env["PEPPERTRAIL_ADMIN"] = listener.URL
	f.as("alice")
	return f
}

func (f *fixture) path(name string) string { return filepath.Join(f.dir, name) }

// as sets the operator of the following commands.
func (f *fixture) as(name string) {
	f.env["PEPPERTRAIL_OPERATOR"] = name
	f.env["PEPPERTRAIL_KEY"] = f.path(name + ".pem")
}

// run runs the tool and returns what it did.
func (f *fixture) run(args ...string) (code int, stdout, stderr string) {
	var out, errs bytes.Buffer
	code = newApp(&out, &errs, func(name string) string { return f.env[name] }).run(context.Background(), args)
	return code, out.String(), errs.String()
}

// ok runs the tool and requires success.
func (f *fixture) ok(args ...string) string {
	f.t.Helper()
	code, out, errs := f.run(args...)
	assert.Equal(f.t, code, exitOK, "%v: %s", args, errs)
	return out
}

// fails runs the tool and requires an exit code and parts of the message.
func (f *fixture) fails(want int, parts []string, args ...string) {
	f.t.Helper()
	code, _, errs := f.run(args...)
	assert.Equal(f.t, code, want, "%v: %s", args, errs)
	for _, part := range parts {
		assert.Assert(f.t, strings.Contains(errs, part), "%v: %q lacks %q", args, errs, part)
	}
}

// write stores a bundle file.
func (f *fixture) write(name string, b bundle.Bundle) string {
	f.t.Helper()
	raw, err := json.MarshalIndent(b, "", "  ")
	assert.NilError(f.t, err)
	assert.NilError(f.t, os.WriteFile(f.path(name), raw, 0o644))
	return f.path(name)
}

func (f *fixture) sample(base uint64) bundle.Bundle {
	return bundle.Bundle{
		Base:             base,
		Operators:        []bundle.Operator{f.entries["alice"], f.entries["bob"]},
		RequiredSignoffs: 2,
		Customers:        []bundle.Customer{{ID: "regie", Services: []string{"chef-llm"}, Budget: "regie-main"}},
		Services:         []bundle.Service{{Name: "chef-llm", Model: "chef", Kind: target.PromText}},
	}
}

// bring submits a bundle as alice and signs it off as bob.
func (f *fixture) bring(b bundle.Bundle) {
	f.t.Helper()
	path := f.write(fmt.Sprintf("v%d.json", b.Base+1), b)
	f.ok("bundle", "submit", path)
	digest, err := bundle.Digest(b)
	assert.NilError(f.t, err)
	f.as("bob")
	f.ok("bundle", "sign", digest)
	f.as("alice")
	assert.NilError(f.t, f.watcher.Poll(context.Background()))
}

// put stores a value as a row.
func (f *fixture) put(key string, value any) {
	f.t.Helper()
	raw, err := json.Marshal(value)
	assert.NilError(f.t, err)
	f.table.Set(key, string(raw))
}
