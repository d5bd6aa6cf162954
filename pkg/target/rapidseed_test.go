package target

import "flag"

// init fixes the seed of rapid so that runs are repeatable, and raises the
// number of checks because some faults need 6 consecutive events of one target.
// Command-line flags override both.
func init() {
	for name, value := range map[string]string{"rapid.seed": "20261203", "rapid.checks": "1000"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
}
