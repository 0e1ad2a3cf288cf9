package rebalance

import (
	"fmt"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"spindlehitch/internal/testbed/seeded"
)

func TestMain(m *testing.M) { seeded.Main(m) }

// TestPlan has members come and go at random: whatever stood before, all is given, evenly in the end, at most so many move at a time, and no
// more than the least that can be.
func TestPlan(t *testing.T) { //nolint:gocognit // one scenario, told in order
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 40).Draw(t, "shards")
		most := rapid.IntRange(1, 5).Draw(t, "most")
		holder := make([]string, n)
		var members []string
		for range 6 {
			members = nil
			for i := range 12 {
				if rapid.Bool().Draw(t, "lives") {
					members = append(members, fmt.Sprint("m", i))
				}
			}
			if len(members) == 0 {
				continue
			}
			orphans, least := 0, 0
			had := map[string]int{}
			for _, h := range holder {
				if slices.Contains(members, h) {
					had[h]++
				} else {
					orphans++
				}
			}
			// No more can stay than each may have: n mod members of them one more than the rest.
			small, large := n/len(members), n%len(members)
			counts := []int{}
			for _, m := range members {
				counts = append(counts, had[m])
			}
			slices.SortFunc(counts, func(a, b int) int { return b - a })
			for i, c := range counts {
				may := small
				if i < large {
					may++
				}
				least += max(0, c-may)
			}
			moves := 0
			for round := 0; ; round++ {
				var shards []Shard
				for i, h := range holder {
					shards = append(shards, Shard{ID: i, Holder: h})
				}
				given, moved := Plan("t", shards, members, nil, most)
				turned := slices.Clone(members)
				slices.Reverse(turned)
				again, _ := Plan("t", shards, turned, nil, most)
				if !slices.Equal(given, again) {
					t.Fatalf("another order of members, another plan: %v, %v", given, again)
				}
				if round == 0 && len(given) != orphans || round > 0 && len(given) > 0 || len(moved) > most {
					t.Fatalf("round %d: %d given of %d, %d moved of %d at a time", round, len(given), orphans, len(moved), most)
				}
				for _, m := range append(given, moved...) {
					holder[m.Shard] = m.Member
				}
				if moves += len(moved); len(moved) == 0 {
					break
				}
			}
			has := map[string]int{}
			for _, h := range holder {
				has[h]++
			}
			lo, hi := n, 0
			for _, m := range members {
				lo, hi = min(lo, has[m]), max(hi, has[m])
			}
			if hi-lo > 1 || moves > least {
				t.Fatalf("%d to %d shards a member, %d moves, %d are the least", lo, hi, moves, least)
			}
		}
	})
}

// TestLoad gives a shard to the least loaded of those that have equally many; shards count first, and small differences of load not at all.
func TestLoad(t *testing.T) {
	members := []string{"a", "b", "c"}
	one := []Shard{{ID: 0}}
	first, _ := Plan("t", one, members, nil, 0)
	for _, c := range []struct {
		load map[string]uint16
		want string
	}{{nil, first[0].Member}, {map[string]uint16{"a": 40, "b": 9, "c": 40}, "b"}, {map[string]uint16{"a": 9, "b": 40, "c": 40}, "a"},
		{map[string]uint16{"a": 33, "b": 40, "c": 60}, first[0].Member}} {
		if got, _ := Plan("t", one, members, c.load, 0); got[0].Member != c.want {
			t.Errorf("load %v: to %s, want %s", c.load, got[0].Member, c.want)
		}
	}
	two := []Shard{{ID: 0, Holder: "b"}, {ID: 1}}
	if got, _ := Plan("t", two, members, map[string]uint16{"a": 400, "c": 400}, 0); got[0].Member == "b" {
		t.Error("a member with a shard got another, for its load")
	}
}
