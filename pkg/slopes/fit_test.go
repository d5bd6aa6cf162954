package slopes

import (
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// Guards against a slope, intercept or R² that does not belong to the points.
func TestFitLine(t *testing.T) {
	fit, err := FitLine([]Point{{X: 1, Y: 1}, {X: 2, Y: 3}, {X: 3, Y: 2}})
	assert.NilError(t, err)
	assert.Equal(t, fit.Slope, 0.5)
	assert.Equal(t, fit.Intercept, 1.0)
	assert.Equal(t, fit.R2, 0.25)
	assert.Equal(t, fit.Residual, 1.0)
}

// Guards against a fit that differs from the line on which all points lie.
func TestFitLineRecoversExactLine(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		slope := rapid.Float64Range(-1000, 1000).Draw(t, "slope")
		intercept := rapid.Float64Range(-1000, 1000).Draw(t, "intercept")
		n := rapid.IntRange(2, 10).Draw(t, "n")
		var points []Point
		for i := range n {
			points = append(points, Point{X: float64(i), Y: intercept + slope*float64(i)})
		}
		fit, err := FitLine(points)
		assert.NilError(t, err)
		assert.Assert(t, fit.Residual < 1e-6, "residual %g", fit.Residual)
		assert.Assert(t, fit.Slope-slope < 1e-6 && slope-fit.Slope < 1e-6)
	})
}

// Guards against a division by zero that prints a slope of NaN.
func TestFitLineNeedsTwoSizes(t *testing.T) {
	for _, points := range [][]Point{nil, {{X: 1, Y: 2}}, {{X: 1, Y: 2}, {X: 1, Y: 3}}} {
		_, err := FitLine(points)
		assert.ErrorIs(t, err, errTooFewSizes)
	}
}
