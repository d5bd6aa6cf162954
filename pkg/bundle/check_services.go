package bundle

import (
	"fmt"
	"strings"

	"github.com/peppertrail/peppertrail/pkg/target"
)

// allPaths is the entry in non_idempotent that stands for every call of the service.
const allPaths = "*"

// services validates the services and returns the set of their names.
func (c *checker) services(b Bundle) map[string]bool {
	names := make(map[string]string)
	models := make(map[string]string)
	known := make(map[string]bool)
	for i, s := range b.Services {
		path := fmt.Sprintf("services[%d]", i)
		c.id(path+".name", s.Name)
		c.unique(names, path+".name", s.Name)
		known[s.Name] = true
		c.serviceKind(path, s, models)
		c.nonIdempotent(path, s)
		c.intRange(path+".slow_start_seconds", int64(s.SlowStart), 1, MaxSlowStartSeconds)
	}
	return known
}

func (c *checker) serviceKind(path string, s Service, models map[string]string) {
	switch s.Kind {
	case target.PromText, target.JSONStatus:
		c.engine(path, s, models)
	case target.Service:
		c.plainService(path, s)
	default:
		c.report(path+".kind", string(s.Kind), fmt.Sprintf("%q, %q or %q", target.PromText, target.JSONStatus, target.Service))
	}
}

func (c *checker) engine(path string, s Service, models map[string]string) {
	c.id(path+".model", s.Model)
	c.unique(models, path+".model", s.Model)
	c.intRange(path+".max_output", s.MaxOutput, 1, MaxOutputTokens)
	if s.CallCost != 0 {
		c.report(path+".call_cost", s.CallCost, "0 for an engine, which reports its own usage")
	}
}

func (c *checker) plainService(path string, s Service) {
	if s.Model != "" {
		c.report(path+".model", s.Model, "empty for a plain service")
	}
	if s.MaxOutput != 0 {
		c.report(path+".max_output", s.MaxOutput, "0 for a plain service")
	}
	c.intRange(path+".call_cost", s.CallCost, 0, MaxCallCost)
}

func (c *checker) nonIdempotent(path string, s Service) {
	seen := make(map[string]string)
	for i, prefix := range s.NonIdempotent {
		field := fmt.Sprintf("%s.non_idempotent[%d]", path, i)
		if prefix != allPaths && !strings.HasPrefix(prefix, "/") {
			c.report(field, prefix, `a path prefix that starts with "/", or "*" for all calls`)
		}
		c.unique(seen, field, prefix)
	}
}
