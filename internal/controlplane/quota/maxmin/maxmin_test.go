package maxmin

import (
	"math"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"spindlehitch/internal/testbed/seeded"
)

func TestMain(m *testing.M) { seeded.Main(m) }

// TestShares works small divisions by hand.
func TestShares(t *testing.T) {
	far := math.Inf(1)
	for _, c := range []struct {
		name   string
		whole  float64
		claims []Demand
		want   []float64
	}{
		{"nobody", 10, nil, []float64{}},
		{"one gets all that it may", 10, []Demand{{1, 8, 1}}, []float64{8}},
		{"equal needs, equal parts", 12, []Demand{{9, far, 1}, {9, far, 1}, {9, far, 1}}, []float64{4, 4, 4}},
		{"small needs first", 12, []Demand{{2, far, 1}, {9, far, 1}, {9, far, 1}}, []float64{2, 5, 5}},
		{"by weight", 12, []Demand{{20, far, 1}, {20, far, 2}}, []float64{4, 8}},
		{"a small need with a large weight", 12, []Demand{{1, 1, 9}, {20, far, 1}}, []float64{1, 11}},
		{"what is left over is shared out as well", 12, []Demand{{1, far, 1}, {3, far, 1}}, []float64{5, 7}},
		{"up to the most", 12, []Demand{{1, 2, 1}, {3, 4, 1}}, []float64{2, 4}},
		{"nothing to share", 0, []Demand{{1, far, 1}}, []float64{0}},
		{"a want below nothing", 4, []Demand{{-3, far, 1}, {4, far, 1}}, []float64{0, 4}},
	} {
		got := Shares(c.whole, c.claims)
		for i := range c.want {
			if math.Abs(got[i]-c.want[i]) > 1e-9 {
				t.Errorf("%s: %v, want %v", c.name, got, c.want)
				break
			}
		}
	}
	if got := RoundUnits(10, Shares(10, []Demand{{9, far, 1}, {9, far, 1}, {9, far, 1}})); !slices.Equal(got, []float64{4, 3, 3}) {
		t.Errorf("units of ten among three: %v", got)
	}
}

// TestFair divides at random: never more than the whole, nobody past the most, all of it used where anybody could use it, nobody
// gets less for its weight than another whose want is not smaller, and in another order everyone gets the same.
func TestFair(t *testing.T) { //nolint:gocognit // one scenario, told in order
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 8).Draw(t, "claims")
		whole := rapid.Float64Range(0, 100).Draw(t, "whole")
		claims := make([]Demand, n)
		room := 0.0
		for i := range claims {
			most := rapid.Float64Range(0, 60).Draw(t, "most")
			claims[i] = Demand{rapid.Float64Range(0, 80).Draw(t, "want"), most, rapid.Float64Range(0.1, 10).Draw(t, "weight")}
			room += most
		}
		got := Shares(whole, claims)
		sum := 0.0
		for i, x := range got {
			sum += x
			if x > claims[i].Max+1e-9 {
				t.Fatalf("%v gets %v", claims[i], x)
			}
			for j, y := range got {
				wanted := min(claims[i].Want, claims[i].Max)
				if x < wanted-1e-6 && y > min(claims[j].Want, claims[j].Max)+1e-6 {
					t.Fatalf("%v gets only %v while %v has %v, more than it wants", claims[i], x, claims[j], y)
				}
				if x < wanted-1e-6 && x/claims[i].Weight < y/claims[j].Weight-1e-6 {
					t.Fatalf("%v gets %v, less for its weight than %v, with %v", claims[i], x, claims[j], y)
				}
			}
		}
		if sum > whole+1e-6 || sum < min(whole, room)-1e-6 {
			t.Fatalf("%v shared out of %v, with room for %v", sum, whole, room)
		}
		order := rapid.Permutation(claims).Draw(t, "order")
		again := Shares(whole, order)
		for i, c := range order {
			if at := slices.Index(claims, c); math.Abs(again[i]-got[at]) > 1e-6 {
				t.Fatalf("%v gets %v in another order, %v before", c, again[i], got[at])
			}
		}
		units := RoundUnits(whole, got)
		total := 0.0
		for i, x := range units {
			total += x
			if x != math.Floor(x) || math.Abs(x-got[i]) > 1+1e-6 {
				t.Fatalf("%v units of a share of %v", x, got[i])
			}
		}
		if total > whole+1e-6 {
			t.Fatalf("%v units of %v", total, whole)
		}
	})
}
