package bundle

import (
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against Diff omitting a change, or reporting defaults and order as changes.
func TestDiff(t *testing.T) {
	a, b := sample(3), sample(4)
	b.StaleBundle = ServeStale
	b.Customers[0], b.Customers[1] = b.Customers[1], b.Customers[0]
	assert.Equal(t, len(Diff(a, b)), 0)

	b.RequiredSignoffs = 1
	b.Operators = b.Operators[:2]
	b.Customers[1].MaxPriority = 5
	b.Services = append(b.Services, Service{Name: "new", Kind: "service"})
	var lines []string
	for _, c := range Diff(a, b) {
		lines = append(lines, c.String())
	}
	assert.Equal(t, len(lines), 4)
	assert.Equal(t, lines[0], "~ required_signoffs: 2 -> 1")
	assert.Equal(t, lines[1][:19], "- operators[carol]:")
	assert.Equal(t, lines[2][:16], "+ services[new]:")
	assert.Equal(t, lines[3], "~ customers[regie].max_priority: 0 -> 5")
}

// Guards against the entries of a first bundle not being reported as added.
func TestDiffFromEmptyBundle(t *testing.T) {
	changes := Diff(Bundle{}, sample(0))
	added := 0
	for _, c := range changes {
		if c.Kind == AddedEntry {
			added++
		}
	}
	assert.Equal(t, added, 7) // 3 operators, 2 services and 2 customers
}
