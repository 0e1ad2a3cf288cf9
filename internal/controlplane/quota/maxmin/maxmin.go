// Package maxmin divides a capacity by weighted max-min fairness (Bertsekas and Gallager, Data
// Networks, section 6.5.2, with weights): a member gets less than another, relative to its weight, only
// if it wants no more. It does no I/O; equal demands get equal shares, and the result does not depend
// on the order of the demands.
package maxmin

import (
	"cmp"
	"math"
	"slices"
)

// Demand is one member's demand.
type Demand struct {
	Want   float64 // amount that it can use
	Max    float64 // upper bound of its share
	Weight float64 // greater than 0
}

// Shares divides the capacity: first by demand, then the rest by weight up to each member's maximum, so
// that there is capacity for a demand that grows. The shares sum to no more than the capacity.
func Shares(capacity float64, demands []Demand) []float64 {
	shares := make([]float64, len(demands))
	raiseShares(capacity, demands, shares, func(c Demand) float64 { return min(max(c.Want, 0), c.Max) })
	raiseShares(capacity, demands, shares, func(c Demand) float64 { return c.Max })
	return shares
}

// raiseShares raises all shares together, in proportion to their weights, up to each one's bound
// (water filling).
func raiseShares(capacity float64, demands []Demand, shares []float64, bound func(Demand) float64) {
	order := make([]int, len(demands))
	left, weights := capacity, 0.0
	for i, d := range demands {
		order[i] = i
		left -= shares[i]
		weights += d.Weight
	}
	room := func(i int) float64 { return max(0, bound(demands[i])-shares[i]) }
	slices.SortStableFunc(order, func(a, b int) int {
		return cmp.Compare(room(a)/demands[a].Weight, room(b)/demands[b].Weight)
	})
	for _, i := range order {
		if left <= 0 {
			return
		}
		add := min(room(i), left*demands[i].Weight/weights)
		shares[i] += add
		left -= add
		weights -= demands[i].Weight
	}
}

// RoundUnits makes shares of an indivisible resource integers by the largest remainder method: shares
// are rounded down, and the remaining units go to the largest remainders, ties in order of the shares.
func RoundUnits(capacity float64, shares []float64) []float64 {
	units := make([]float64, len(shares))
	order := make([]int, len(shares))
	sum, remainders := 0.0, 0.0
	for i, s := range shares {
		units[i], order[i] = math.Floor(s+1e-9), i
		sum += units[i]
		remainders += max(0, s-units[i])
	}
	// Remainders that differ only by rounding errors count as equal, or the last unit would move between members.
	remainder := func(i int) float64 { return math.Round((shares[i] - units[i]) * 1e6) }
	slices.SortStableFunc(order, func(a, b int) int { return cmp.Compare(remainder(b), remainder(a)) })
	left := min(math.Floor(capacity-sum+1e-9), math.Floor(remainders+1e-6))
	for _, i := range order {
		if left < 1 || shares[i]-units[i] < 1e-9 {
			break
		}
		units[i]++
		left--
	}
	return units
}
