package routing

import (
	"testing"

	"gotest.tools/v3/assert"
)

func route(name, prefix string, split ...Share) *Route {
	if len(split) == 0 {
		split = []Share{{Service: "chef", Weight: 1}}
	}
	return &Route{Name: name, Host: "Kitchen.example", PathPrefix: prefix, Kind: Safe, Split: split}
}

func newConfiguration(t *testing.T, routes ...*Route) *Configuration {
	t.Helper()
	c, err := New(1, routes, []*Service{{Name: "chef"}, {Name: "other"}}, []*Customer{{Name: "regie", Keys: []string{"k1", "k2"}}}, Limits{})
	assert.NilError(t, err)
	return c
}

// Guards against matching a shorter prefix where a longer one matches, whatever the
// order of the routes.
func TestLongestPrefixMatches(t *testing.T) {
	for _, routes := range [][]*Route{
		{route("all", "/"), route("menu", "/menu/"), route("week", "/menu/week/")},
		{route("week", "/menu/week/"), route("menu", "/menu/"), route("all", "/")},
	} {
		c := newConfiguration(t, routes...)
		assert.Equal(t, c.Match("kitchen.example", "/menu/week/7").Name, "week")
		assert.Equal(t, c.Match("kitchen.example:8080", "/menu/weekly").Name, "menu")
		assert.Equal(t, c.Match("KITCHEN.example", "/menu").Name, "all")
		assert.Assert(t, c.Match("other.example", "/menu/") == nil)
	}
}

// Guards against a traffic split that does not follow the weights.
func TestSplitFollowsWeights(t *testing.T) {
	r := route("r", "/", Share{Service: "chef", Weight: 90}, Share{Service: "other", Weight: 10})
	counts := map[string]int{}
	for i := range 1000 {
		counts[r.Service(float64(i)/1000)]++
	}
	assert.Equal(t, counts["chef"], 900)
	assert.Equal(t, counts["other"], 100)
	withoutWeights := route("r", "/", Share{Service: "chef"}, Share{Service: "other"})
	assert.Equal(t, withoutWeights.Service(0.99), "chef")
}

// Guards against accepting a configuration with a route that cannot be served.
func TestInvalidConfigurationIsRejected(t *testing.T) {
	for _, c := range []struct {
		route   *Route
		message string
	}{
		{&Route{Name: "r", PathPrefix: "/a/", Kind: Safe}, "no service"},
		{&Route{Name: "r", PathPrefix: "a/", Kind: Safe, Split: []Share{{Service: "chef"}}}, "path prefix"},
		{&Route{Name: "r", PathPrefix: "/a/", Kind: "maybe", Split: []Share{{Service: "chef"}}}, "kind"},
		{&Route{Name: "r", PathPrefix: "/a/", Kind: Safe, Split: []Share{{Service: "gone"}}}, "gone"},
	} {
		_, err := New(1, []*Route{c.route}, []*Service{{Name: "chef"}}, nil, Limits{})
		assert.ErrorContains(t, err, c.message)
	}
}

// Guards against mapping an API key to the wrong customer.
func TestCustomerIsFoundByKey(t *testing.T) {
	c := newConfiguration(t, route("all", "/"))
	assert.Equal(t, c.Customer("k2").Name, "regie")
	assert.Assert(t, c.Customer("k3") == nil)
	assert.Assert(t, c.RequiresKey())
}

// Guards against retrying unsafe requests and streams that cannot be resumed.
func TestOnlySafeAndResumableRoutesAreIdempotent(t *testing.T) {
	assert.Assert(t, (&Route{Kind: Safe}).Idempotent())
	assert.Assert(t, (&Route{Kind: Streaming, Resumable: true}).Idempotent())
	assert.Assert(t, !(&Route{Kind: Streaming}).Idempotent())
	assert.Assert(t, !(&Route{Kind: Unsafe}).Idempotent())
}
