package slopes

import (
	"errors"
	"math"
)

// errTooFewSizes means that no line can be fitted, because there are fewer than two
// points or all points have the same size.
var errTooFewSizes = errors.New("a line needs points of at least two sizes")

// Fit is a line through points by ordinary least squares.
type Fit struct {
	Slope     float64
	Intercept float64
	R2        float64 // coefficient of determination; 1 if y does not vary
	Residual  float64 // largest vertical distance of a point from the line, in units of y
}

// FitLine fits a line to points.
func FitLine(points []Point) (Fit, error) {
	n := float64(len(points))
	var sumX, sumY float64
	for _, p := range points {
		sumX += p.X
		sumY += p.Y
	}
	meanX, meanY := sumX/n, sumY/n
	var sxx, sxy, syy float64
	for _, p := range points {
		sxx += (p.X - meanX) * (p.X - meanX)
		sxy += (p.X - meanX) * (p.Y - meanY)
		syy += (p.Y - meanY) * (p.Y - meanY)
	}
	if len(points) < 2 || sxx == 0 {
		return Fit{}, errTooFewSizes
	}
	f := Fit{Slope: sxy / sxx}
	f.Intercept = meanY - f.Slope*meanX
	f.R2 = f.rSquared(points, syy)
	return f, nil
}

// rSquared sets Residual and returns R². total is the sum of the squared deviations
// of y from its mean.
func (f *Fit) rSquared(points []Point, total float64) float64 {
	var rest float64
	for _, p := range points {
		d := p.Y - f.At(p.X)
		rest += d * d
		f.Residual = max(f.Residual, math.Abs(d))
	}
	if total == 0 {
		return 1
	}
	return 1 - rest/total
}

// At returns the cost that the line gives for a size.
func (f Fit) At(x float64) float64 { return f.Intercept + f.Slope*x }
