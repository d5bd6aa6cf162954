package bench

import (
	"bytes"
	"context"
	"os"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/peppertrail/peppertrail/pkg/load/baseline"
	"github.com/peppertrail/peppertrail/pkg/load/role"
)

// TestMain runs a role if the test binary was started as a process of a fleet.
func TestMain(m *testing.M) {
	if len(os.Args) > 1 && os.Args[1] == role.Command {
		os.Exit(role.Main(os.Args[2:]))
	}
	os.Exit(m.Run())
}

// Guards against a load tool that cannot start a fleet or complete requests, and
// against a policy that overspends or refuses requests under a light steady load.
func TestSteadySmoke(t *testing.T) {
	for _, policy := range baseline.Policies() {
		t.Run(string(policy), func(t *testing.T) {
			t.Parallel()
			ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
			defer cancel()
			var out bytes.Buffer
			err := Run(ctx, Options{
				Workloads: []string{"steady"}, Policies: []baseline.Policy{policy}, Rate: 30, Duration: time.Second,
				Daemons: 2, Engines: 1, Seed: DefaultSeed, Out: &out, Log: t.Output(),
			})
			assert.NilError(t, err)
			want := "bench steady " + string(policy) + " overspent_tokens=0 false_refusals=0.00000 "
			assert.Assert(t, strings.HasPrefix(out.String(), want), out.String())
			assert.Assert(t, !strings.Contains(out.String(), "completed=0 "), out.String())
			assert.Assert(t, strings.Contains(out.String(), " lost=0 "), out.String())
		})
	}
}

// Guards against a shortened run whose faults would fall outside of the load.
func TestScaledWorkloadKeepsEventsWithinDuration(t *testing.T) {
	for _, name := range Names() {
		w, err := findWorkload(name, 5*time.Second)
		assert.NilError(t, err)
		for _, e := range w.events {
			assert.Assert(t, e.at > 0 && e.at < w.duration, "%s: %s at %v", name, e.name, e.at)
		}
	}
	_, err := findWorkload("none", 0)
	assert.ErrorContains(t, err, "allowed")
}
