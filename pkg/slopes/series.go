package slopes

import "slices"

// series collects the points of several slopes against the same kind of size.
type series struct {
	per    string   // unit of the size
	names  []string // in the order in which they were first added
	points map[string][]Point
}

func newSeries(per string) *series {
	return &series{per: per, points: make(map[string][]Point)}
}

// add records a cost at a size.
func (s *series) add(name string, size, cost float64) {
	if !slices.Contains(s.names, name) {
		s.names = append(s.names, name)
	}
	s.points[name] = append(s.points[name], Point{X: size, Y: cost})
}

// slopes returns one slope per name.
func (s *series) slopes() []Slope {
	var all []Slope
	for _, name := range s.names {
		all = append(all, Slope{Name: name, Per: s.per, Points: s.points[name]})
	}
	return all
}
