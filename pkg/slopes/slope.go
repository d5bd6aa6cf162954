package slopes

import (
	"fmt"
	"strings"
)

// Slope is a cost that was measured at several sizes.
type Slope struct {
	Name   string // name of the printed figure, with its unit
	Per    string // unit of the size
	Points []Point
}

// Line returns the line to print: the fit and the measured points.
func (s Slope) Line() string {
	fit, err := FitLine(s.Points)
	if err != nil {
		return fmt.Sprintf("slope %s=unknown reason=%q points=%s", s.Name, err, s.points())
	}
	return fmt.Sprintf("slope %s=%.5g per=%s intercept=%.5g r2=%.4f max_residual=%.3g points=%s",
		s.Name, fit.Slope, s.Per, fit.Intercept, fit.R2, fit.Residual, s.points())
}

// points returns the points as size:cost pairs.
func (s Slope) points() string {
	parts := make([]string, 0, len(s.Points))
	for _, p := range s.Points {
		parts = append(parts, fmt.Sprintf("%g:%.5g", p.X, p.Y))
	}
	return strings.Join(parts, ",")
}
