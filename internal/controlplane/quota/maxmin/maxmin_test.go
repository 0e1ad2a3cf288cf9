package maxmin

import (
	"math"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"spindlehitch/internal/testbed/seeded"
)

func TestMain(m *testing.M) { seeded.Main(m) }

// TestSharesAndRoundUnits checks small divisions that were computed by hand.
func TestSharesAndRoundUnits(t *testing.T) {
	unbounded := math.Inf(1)
	for _, c := range []struct {
		name     string
		capacity float64
		demands  []Demand
		want     []float64
	}{
		{"no demands", 10, nil, []float64{}},
		{"one demand gets its maximum", 10, []Demand{{1, 8, 1}}, []float64{8}},
		{"equal demands", 12, []Demand{{9, unbounded, 1}, {9, unbounded, 1}, {9, unbounded, 1}}, []float64{4, 4, 4}},
		{"small demand in full", 12, []Demand{{2, unbounded, 1}, {9, unbounded, 1}, {9, unbounded, 1}}, []float64{2, 5, 5}},
		{"by weight", 12, []Demand{{20, unbounded, 1}, {20, unbounded, 2}}, []float64{4, 8}},
		{"small demand with a large weight", 12, []Demand{{1, 1, 9}, {20, unbounded, 1}}, []float64{1, 11}},
		{"rest is shared beyond the demands", 12, []Demand{{1, unbounded, 1}, {3, unbounded, 1}}, []float64{5, 7}},
		{"shares end at the maximum", 12, []Demand{{1, 2, 1}, {3, 4, 1}}, []float64{2, 4}},
		{"no capacity", 0, []Demand{{1, unbounded, 1}}, []float64{0}},
		{"negative demand", 4, []Demand{{-3, unbounded, 1}, {4, unbounded, 1}}, []float64{0, 4}},
	} {
		got := Shares(c.capacity, c.demands)
		for i := range c.want {
			if math.Abs(got[i]-c.want[i]) > 1e-9 {
				t.Errorf("%s: %v, want %v", c.name, got, c.want)
				break
			}
		}
	}
	if got := RoundUnits(10, Shares(10, []Demand{{9, unbounded, 1}, {9, unbounded, 1}, {9, unbounded, 1}})); !slices.Equal(got, []float64{4, 3, 3}) {
		t.Errorf("10 units divided by 3: %v", got)
	}
}

// TestFairnessProperties divides random capacities among random demands. The shares must not exceed the capacity or a maximum, use all
// capacity that can be used, be max-min fair by weight, and not depend on the order. Rounded shares must be integers within the capacity.
func TestFairnessProperties(t *testing.T) { //nolint:gocognit // one scenario in sequence
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 8).Draw(t, "demands")
		capacity := rapid.Float64Range(0, 100).Draw(t, "capacity")
		demands := make([]Demand, n)
		room := 0.0
		for i := range demands {
			maxShare := rapid.Float64Range(0, 60).Draw(t, "maximum")
			demands[i] = Demand{rapid.Float64Range(0, 80).Draw(t, "want"), maxShare, rapid.Float64Range(0.1, 10).Draw(t, "weight")}
			room += maxShare
		}
		got := Shares(capacity, demands)
		sum := 0.0
		for i, x := range got {
			sum += x
			if x > demands[i].Max+1e-9 {
				t.Fatalf("%v gets %v", demands[i], x)
			}
			for j, y := range got {
				wanted := min(demands[i].Want, demands[i].Max)
				if x < wanted-1e-6 && y > min(demands[j].Want, demands[j].Max)+1e-6 {
					t.Fatalf("%v gets only %v while %v has %v, more than it wants", demands[i], x, demands[j], y)
				}
				if x < wanted-1e-6 && x/demands[i].Weight < y/demands[j].Weight-1e-6 {
					t.Fatalf("%v gets %v, less for its weight than %v with %v", demands[i], x, demands[j], y)
				}
			}
		}
		if sum > capacity+1e-6 || sum < min(capacity, room)-1e-6 {
			t.Fatalf("shares sum to %v of capacity %v, maxima to %v", sum, capacity, room)
		}
		order := rapid.Permutation(demands).Draw(t, "order")
		reordered := Shares(capacity, order)
		for i, c := range order {
			if at := slices.Index(demands, c); math.Abs(reordered[i]-got[at]) > 1e-6 {
				t.Fatalf("%v gets %v in another order, want %v", c, reordered[i], got[at])
			}
		}
		units := RoundUnits(capacity, got)
		total := 0.0
		for i, x := range units {
			total += x
			if x != math.Floor(x) || math.Abs(x-got[i]) > 1+1e-6 {
				t.Fatalf("%v units of a share of %v", x, got[i])
			}
		}
		if total > capacity+1e-6 {
			t.Fatalf("%v units of capacity %v", total, capacity)
		}
	})
}
