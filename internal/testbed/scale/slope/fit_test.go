package slope

import (
	"math"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"
)

func points(f func(float64) float64, sizes ...float64) (all []Point) {
	for _, s := range sizes {
		all = append(all, Point{s, f(s)})
	}
	return all
}

// TestFit checks linear and quadratic fits and the prediction of the largest size.
func TestFit(t *testing.T) {
	l, err := Fit(points(func(x float64) float64 { return 50 + 3*x }, 2000, 200, 20, 20_000))
	require.NoError(t, err)
	require.InDelta(t, 3, l.Coefficient, 1e-9)
	require.InDelta(t, 50, l.Base, 1e-6)
	require.Equal(t, 1.0, l.Power)
	require.Equal(t, [2]float64{20, 20_000}, [2]float64{l.MinSize, l.MaxSize})
	require.InDelta(t, 60_050, l.Predicted, 1e-3)
	require.InDelta(t, 0, l.PredictionError, 1e-9)
	l, err = Fit(points(func(x float64) float64 { return 1 + x*x/1000 }, 100, 300, 1000, 3000))
	require.NoError(t, err)
	require.Equal(t, 2.0, l.Power)
	require.InDelta(t, 0.001, l.Coefficient, 1e-9)
	// A cost that leaves the line at the largest size shows in the prediction error.
	l, err = Fit(append(points(func(x float64) float64 { return x }, 1, 2, 4), Point{8, 16}))
	require.NoError(t, err)
	require.InDelta(t, -0.5, l.PredictionError, 1e-9)
}

// TestFitError checks the standard error of a fit against noise of a known variance.
func TestFitError(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	within := 0
	const rounds = 200
	for range rounds {
		l, err := Fit(points(func(x float64) float64 { return 7 * x * (1 + 0.02*rng.NormFloat64()) }, 100, 200, 400, 800, 1600, 3200))
		require.NoError(t, err)
		if l.Power == 1 && math.Abs(l.Coefficient-7) < 3*l.StdError {
			within++
		}
	}
	require.Greater(t, within, rounds*9/10)
}

func TestFitRejectsInvalidPoints(t *testing.T) {
	for _, p := range [][]Point{nil, points(func(x float64) float64 { return x }, 1, 2, 3), {{1, 1}, {2, 2}, {2, 2}, {3, 3}}, {{1, 1}, {2, math.NaN()}, {3, 3}, {4, 4}},
		{{-1, 1}, {2, 2}, {3, 3}, {4, 4}}} {
		_, err := Fit(p)
		require.Error(t, err)
	}
}
