package soak

import (
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"testing"
	"time"
)

// regressions are seeds that once failed.
var regressions = []struct {
	seed  uint64
	cause string
}{
	{1332775925179130254, "the failure of a second target was put behind the events of the first"},
}

// usualSeed is played where none is asked for, so that the verdict does not depend
// on chance.
const usualSeed = 1

// Size of a run unless the environment says otherwise.
const (
	defaultSeconds = 8
	defaultHosts   = 4
	defaultTargets = 4
)

// Guards against broken promises to callers and operators under any sequence of
// faults: a budget overspent, a request that ran twice or was said not to have
// run, an answer that is not whole, a stop or a change that callers notice, an
// older configuration, and no service after the faults.
func TestSoak(t *testing.T) {
	for _, r := range regressions {
		t.Run(fmt.Sprintf("seed %d: %s", r.seed, r.cause), func(t *testing.T) { run(t, r.seed) })
	}
	if seed, set := os.LookupEnv("SOAK_SEED"); set {
		n, err := strconv.ParseUint(seed, 10, 64)
		if err != nil {
			t.Fatalf("SOAK_SEED: %v", err)
		}
		run(t, n)
		return
	}
	if _, set := os.LookupEnv("SOAK_SEEDS"); !set {
		run(t, usualSeed)
		return
	}
	for range setting(t, "SOAK_SEEDS", 1) {
		seed := rand.Uint64()
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) { run(t, seed) })
	}
}

func setting(t *testing.T, name string, otherwise int) int {
	t.Helper()
	text, set := os.LookupEnv(name)
	if !set {
		return otherwise
	}
	n, err := strconv.Atoi(text)
	if err != nil || n < 1 {
		t.Fatalf("%s: %q is not a number above 0", name, text)
	}
	return n
}

// run plays one seed.
func run(t *testing.T, seed uint64) {
	w := newWorld(t, seed)
	w.callers(t.Context())
	end := time.Now().Add(time.Duration(setting(t, "SOAK_SECONDS", defaultSeconds)) * time.Second)
	for time.Now().Before(end) {
		w.trouble()
	}
	w.heal()
	w.checkRecovery()
	w.stopCallers()
	w.stopHosts()
	w.checkRuns()
	w.report()
}
