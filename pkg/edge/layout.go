package edge

import (
	"github.com/peppertrail/peppertrail/pkg/balance"
	"github.com/peppertrail/peppertrail/pkg/routing"
)

// Layout names the tables and keys of the store, decodes the rows that the
// platform writes, and sets the path of the readiness check.
type Layout struct {
	ConfigurationTable  string
	ConfigurationKey    string
	DecodeConfiguration func(value []byte) (*routing.Configuration, error)
	// EvacuationPrefix precedes the name of a failure domain in the key of a row of
	// ConfigurationTable. While the row exists, the targets there get no requests.
	EvacuationPrefix string
	TargetTable      string
	// DecodeTarget decodes a registration. With an error, only the id and Draining of the
	// target are set.
	DecodeTarget func(id string, value []byte) (balance.Target, error)
	AccountTable string // table of the customers' budget accounts
	UsageTable   string // table of the usage reports of hosts
	HostTable    string // table of the rows by which hosts know each other
	ReadyPath    string // path of the readiness check, requested by the load balancer
}
