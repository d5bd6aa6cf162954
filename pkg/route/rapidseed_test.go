package route

import "flag"

// init fixes the seed of rapid so that runs are repeatable, and raises the
// number of checks so that every refusal reason occurs. Command-line flags
// override both.
func init() {
	for name, value := range map[string]string{"rapid.seed": "20261203", "rapid.checks": "2000"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
}
