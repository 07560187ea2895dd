package measure

import (
	"errors"
	"math"
)

// Point is one measurement.
type Point struct {
	X float64 `json:"x"`
	Y float64 `json:"y"`
}

// Fit is a straight line through points by least squares.
type Fit struct {
	Slope     float64 `json:"slope"`
	Intercept float64 `json:"intercept"`
	// R2 is the share of the variance that the line explains.
	R2 float64 `json:"r2"`
}

// At returns the line's value at x.
func (f Fit) At(x float64) float64 { return f.Intercept + f.Slope*x }

// errDegenerateFit means that a line can't be told from the points.
var errDegenerateFit = errors.New("measure: a fit needs points at two values of x")

// fitLine returns the line of least squares.
func fitLine(points []Point) (Fit, error) {
	n := float64(len(points))
	var mx, my float64
	for _, p := range points {
		mx += p.X / n
		my += p.Y / n
	}
	var sxx, sxy, syy float64
	for _, p := range points {
		sxx += (p.X - mx) * (p.X - mx)
		sxy += (p.X - mx) * (p.Y - my)
		syy += (p.Y - my) * (p.Y - my)
	}
	if sxx == 0 {
		return Fit{}, errDegenerateFit
	}
	f := Fit{Slope: sxy / sxx, R2: 1}
	f.Intercept = my - f.Slope*mx
	if syy > 0 {
		f.R2 = math.Min(1, sxy*sxy/(sxx*syy))
	}
	return f, nil
}
