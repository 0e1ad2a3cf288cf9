// Package maxmin divides a capacity by weighted max-min fairness (Bertsekas and Gallager, Data
// Networks, section 6.5.2, with weights): nobody gets less than another, relative to its weight,
// unless it wants no more. It does no I/O; equal claims get equal parts, and the result does not
// depend on the order of the claims.
package maxmin

import (
	"cmp"
	"math"
	"slices"
)

// Demand is one member's demand.
type Demand struct {
	Want   float64 // what it could use
	Max    float64 // what it may get
	Weight float64 // greater than 0
}

// Shares divides the capacity: first by demand, then what is left by weight up to each claim's
// maximum, so that a demand that grows finds something there. The shares sum to no more than the
// capacity.
func Shares(whole float64, claims []Demand) []float64 {
	got := make([]float64, len(claims))
	raiseShares(whole, claims, got, func(c Demand) float64 { return min(max(c.Want, 0), c.Max) })
	raiseShares(whole, claims, got, func(c Demand) float64 { return c.Max })
	return got
}

// raiseShares raises all shares together, in proportion to their weights, up to each one's bound
// (water filling).
func raiseShares(whole float64, claims []Demand, got []float64, bound func(Demand) float64) {
	order := make([]int, len(claims))
	left, weights := whole, 0.0
	for i, c := range claims {
		order[i] = i
		left -= got[i]
		weights += c.Weight
	}
	room := func(i int) float64 { return max(0, bound(claims[i])-got[i]) }
	slices.SortStableFunc(order, func(a, b int) int {
		return cmp.Compare(room(a)/claims[a].Weight, room(b)/claims[b].Weight)
	})
	for _, i := range order {
		if left <= 0 {
			return
		}
		add := min(room(i), left*claims[i].Weight/weights)
		got[i] += add
		left -= add
		weights -= claims[i].Weight
	}
}

// RoundUnits makes shares of an indivisible resource whole numbers: rounded down, and the units that
// leaves go to those that lost most by it, the first of equals first.
func RoundUnits(whole float64, shares []float64) []float64 {
	out := make([]float64, len(shares))
	order := make([]int, len(shares))
	sum, cut := 0.0, 0.0
	for i, s := range shares {
		out[i], order[i] = math.Floor(s+1e-9), i
		sum += out[i]
		cut += max(0, s-out[i])
	}
	// Losses that differ by rounding errors alone are equal, or the odd unit would move between members.
	lost := func(i int) float64 { return math.Round((shares[i] - out[i]) * 1e6) }
	slices.SortStableFunc(order, func(a, b int) int { return cmp.Compare(lost(b), lost(a)) })
	left := min(math.Floor(whole-sum+1e-9), math.Floor(cut+1e-6))
	for _, i := range order {
		if left < 1 || shares[i]-out[i] < 1e-9 {
			break
		}
		out[i]++
		left--
	}
	return out
}
