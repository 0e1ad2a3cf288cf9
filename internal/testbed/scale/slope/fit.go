package slope

import (
	"fmt"
	"math"
	"slices"

	"gonum.org/v1/gonum/stat"
)

// minSizes is the fewest sizes that a slope needs: three to fit and one to check the prediction.
const minSizes = 4

// poorFitResidual is the relative residual above which a linear fit is rejected if another power fits clearly better.
const poorFitResidual = 0.1

// Point is the cost measured at one size.
type Point struct {
	Size float64 `json:"size"`
	Cost float64 `json:"cost"`
}

// Line is a fitted cost: Base + Coefficient x size^Power.
type Line struct {
	Base, Coefficient float64
	StdError          float64 // standard error of Coefficient
	Power             float64 // 1 if linear, 2 if quadratic, any other value if neither fits
	Residual          float64 // relative RMS residual of the points fitted
	MinSize, MaxSize  float64 // range of sizes measured, including the one left out of the fit
	Predicted         float64 // cost at the largest size, which is left out of the fit
	PredictionError   float64 // relative error of Predicted
}

// Fit fits costs measured at four sizes or more. The largest size is left out of the fit and predicted from it. The fit is linear unless the points lie clearly
// closer to a quadratic or to another power of the size. Residuals are relative to each cost, or the larger sizes would outweigh the smaller ones.
func Fit(points []Point) (Line, error) {
	points = slices.Clone(points)
	slices.SortFunc(points, func(a, b Point) int {
		if a.Size < b.Size {
			return -1
		}
		return 1
	})
	if len(points) < minSizes {
		return Line{}, fmt.Errorf("%d sizes are too few for a slope, at least %d are required", len(points), minSizes)
	}
	for i, p := range points {
		if math.IsNaN(p.Cost) || math.IsInf(p.Cost, 0) || !(p.Size >= 0) {
			return Line{}, fmt.Errorf("point %d: cost %v at size %v is not a valid measurement", i, p.Cost, p.Size)
		}
		if i > 0 && points[i-1].Size == p.Size {
			return Line{}, fmt.Errorf("point %d: size %v is a duplicate", i, p.Size)
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

// fitPower fits a line through the costs over size^power, weighted by the inverse square of each cost.
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

// residual returns the weighted RMS residual of a line and the standard error of its coefficient.
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

// fitPowerLaw fits Coefficient x size^Power by a line through the logarithms. StdError is that of Coefficient at the middle of the sizes.
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
