package edge

import (
	"github.com/peppertrail/peppertrail/pkg/balance"
	"github.com/peppertrail/peppertrail/pkg/routing"
)

// Layout says where things are in the store and how rows of other writers are read.
type Layout struct {
	ConfigurationTable  string
	ConfigurationKey    string
	DecodeConfiguration func(value []byte) (*routing.Configuration, error)
	TargetTable         string
	DecodeTarget        func(id string, value []byte) (balance.Target, error)
	BudgetTable         string
	UsageTable          string
	ReadyPath           string // asked by the balancer
}
