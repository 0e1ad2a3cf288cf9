package slope

import (
	"fmt"
	"math"
	"slices"

	"gonum.org/v1/gonum/stat"
)

// fewest is how many sizes a slope takes: three that are fitted and one that is foretold.
const minSizes = 4

// bent is how far a line is from what was measured, as a part of it, for it to be clearly off.
const poorFitResidual = 0.1

// Point is what was measured at one size.
type Point struct {
	Size float64 `json:"size"`
	Cost float64 `json:"cost"`
}

// Line is what was fitted: Base + Rise x size^Power.
type Line struct {
	Base, Coefficient float64
	StdError          float64 // standard error of Rise
	Power             float64 // 1; 2 of a square; any where the points lie on no line and no square
	Residual          float64 // residual of the points fitted, as a part of each; root of the mean square
	MinSize, MaxSize  float64 // sizes measured, the one left out included
	Predicted         float64 // at the largest size, which was left out
	PredictionError   float64 // Foretold less what was measured there, as a part of it
}

// Fit fits what was measured at four sizes or more, the largest left out and foretold from the rest. It is a line, unless the points lie clearly nearer to a
// square or to another power of the size. Each counts by its distance as a part of itself, or the larger sizes would drown the smaller ones.
func Fit(points []Point) (Line, error) {
	points = slices.Clone(points)
	slices.SortFunc(points, func(a, b Point) int {
		if a.Size < b.Size {
			return -1
		}
		return 1
	})
	if len(points) < minSizes {
		return Line{}, fmt.Errorf("%d sizes are too few for a slope, %d are needed", len(points), minSizes)
	}
	for i, p := range points {
		if math.IsNaN(p.Cost) || math.IsInf(p.Cost, 0) || !(p.Size >= 0) {
			return Line{}, fmt.Errorf("point %d: %v at a size of %v is no measurement", i, p.Cost, p.Size)
		}
		if i > 0 && points[i-1].Size == p.Size {
			return Line{}, fmt.Errorf("point %d: a size of %v is there twice", i, p.Size)
		}
	}
	rest, last := points[:len(points)-1], points[len(points)-1]
	best := fitPower(rest, 1)
	if best.Residual > poorFitResidual {
		for _, other := range []Line{fitPower(rest, 2), fitPowerLaw(rest)} {
			if other.Coefficient > 0 && other.Residual < best.Residual/2 {
				best = other
			}
		}
	}
	best.MinSize, best.MaxSize = rest[0].Size, last.Size
	best.Predicted = best.Base + best.Coefficient*math.Pow(last.Size, best.Power)
	if last.Cost != 0 {
		best.PredictionError = (best.Predicted - last.Cost) / math.Abs(last.Cost)
	}
	return best, nil
}

// fit is a line through the sizes' powers.
func fitPower(points []Point, power float64) Line {
	x, y, w := make([]float64, len(points)), make([]float64, len(points)), make([]float64, len(points))
	for i, p := range points {
		x[i], y[i], w[i] = math.Pow(p.Size, power), p.Cost, 1
		if p.Cost != 0 {
			w[i] = 1 / (p.Cost * p.Cost)
		}
	}
	l := Line{Power: power}
	l.Base, l.Coefficient = stat.LinearRegression(x, y, w, false)
	l.Residual, l.StdError = residual(x, y, w, l.Base, l.Coefficient)
	return l
}

// residual is the root of the mean square of what a line is off by, weighted, and the standard error of its rise.
func residual(x, y, w []float64, base, rise float64) (noise, err float64) {
	mean := stat.Mean(x, w)
	square, spread := 0.0, 0.0
	for i := range x {
		r := y[i] - base - rise*x[i]
		square += w[i] * r * r
		spread += w[i] * (x[i] - mean) * (x[i] - mean)
	}
	if spread > 0 && len(x) > 2 {
		err = math.Sqrt(square / float64(len(x)-2) / spread)
	}
	return math.Sqrt(square / float64(len(x))), err
}

// power is a line through the logarithms: a cost of Rise x size^Power. Its error is that of Rise at the sizes' middle.
func fitPowerLaw(points []Point) Line {
	x, y, w := make([]float64, len(points)), make([]float64, len(points)), make([]float64, len(points))
	for i, p := range points {
		if p.Size <= 0 || p.Cost <= 0 {
			return Line{Residual: math.Inf(1)}
		}
		x[i], y[i], w[i] = math.Log(p.Size), math.Log(p.Cost), 1
	}
	base, rise := stat.LinearRegression(x, y, w, false)
	noise, _ := residual(x, y, w, base, rise)
	l := Line{Coefficient: math.Exp(base), Power: rise, Residual: noise}
	if len(x) > 2 {
		l.StdError = l.Coefficient * noise / math.Sqrt(float64(len(x)-2))
	}
	return l
}
