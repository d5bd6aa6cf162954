package baseline

import (
	"fmt"

	"github.com/peppertrail/peppertrail/pkg/daemon"
	"github.com/peppertrail/peppertrail/pkg/gateway"
)

// Policy names how a fleet authorises spending.
type Policy string

// Policies that can be compared.
const (
	HomeGrants     Policy = "chosen"         // the policy of peppertraild: grants from the home of a budget
	PerTransaction Policy = "pertransaction" // one table transaction per reservation and per settlement
	Static         Policy = "static"         // each budget split into equal rows, one per daemon
)

// Policies returns all policies, that of peppertraild first.
func Policies() []Policy { return []Policy{HomeGrants, PerTransaction, Static} }

// DaemonOptions returns the options that make a daemon use a policy. index is the
// number of the daemon, from 0; it selects the daemon's share of a split budget.
func DaemonOptions(p Policy, index int) ([]daemon.Option, error) {
	switch p {
	case HomeGrants:
		return nil, nil
	case PerTransaction:
		return []daemon.Option{daemon.WithAuthorities(func(deps daemon.AuthorityDependencies) gateway.Authorities {
			return newTransactions(deps.Table, deps.Incarnation)
		})}, nil
	case Static:
		return []daemon.Option{daemon.WithAuthorities(func(deps daemon.AuthorityDependencies) gateway.Authorities {
			return shareAuthority{local: deps.Local, index: index}
		})}, nil
	}
	return nil, fmt.Errorf("policy %q: allowed: %v", p, Policies())
}
