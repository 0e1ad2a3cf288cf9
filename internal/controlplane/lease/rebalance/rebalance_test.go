package rebalance

import (
	"fmt"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"spindlehitch/internal/testbed/seeded"
)

func TestMain(m *testing.M) { seeded.Main(m) }

// TestPlanRandomMembers adds and removes members at random and plans until no shard moves. All shards without a holder must be
// assigned in the first plan, no plan may move more than maxMoves, the result must be even, and the number of moves minimal.
func TestPlanRandomMembers(t *testing.T) { //nolint:gocognit // one scenario in sequence
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 40).Draw(t, "shards")
		maxMoves := rapid.IntRange(1, 5).Draw(t, "maxMoves")
		holder := make([]string, n)
		var members []string
		for range 6 {
			members = nil
			for i := range 12 {
				if rapid.Bool().Draw(t, "alive") {
					members = append(members, fmt.Sprint("m", i))
				}
			}
			if len(members) == 0 {
				continue
			}
			orphans, minMoves := 0, 0
			heldBefore := map[string]int{}
			for _, h := range holder {
				if slices.Contains(members, h) {
					heldBefore[h]++
				} else {
					orphans++
				}
			}
			// A member keeps at most its fair count: n/len(members), or one more for n%len(members) of them. The rest must move.
			perMember, remainder := n/len(members), n%len(members)
			counts := []int{}
			for _, m := range members {
				counts = append(counts, heldBefore[m])
			}
			slices.SortFunc(counts, func(a, b int) int { return b - a })
			for i, c := range counts {
				fairCount := perMember
				if i < remainder {
					fairCount++
				}
				minMoves += max(0, c-fairCount)
			}
			moves := 0
			for round := 0; ; round++ {
				var shards []Shard
				for i, h := range holder {
					shards = append(shards, Shard{ID: i, Holder: h})
				}
				assigned, moved := Plan("t", shards, members, nil, maxMoves)
				reversed := slices.Clone(members)
				slices.Reverse(reversed)
				assignedReversed, _ := Plan("t", shards, reversed, nil, maxMoves)
				if !slices.Equal(assigned, assignedReversed) {
					t.Fatalf("the plan depends on the order of members: %v, %v", assigned, assignedReversed)
				}
				if round == 0 && len(assigned) != orphans || round > 0 && len(assigned) > 0 || len(moved) > maxMoves {
					t.Fatalf("round %d: %d assigned of %d without a holder, %d moved of at most %d", round, len(assigned), orphans, len(moved), maxMoves)
				}
				for _, m := range append(assigned, moved...) {
					holder[m.Shard] = m.Member
				}
				if moves += len(moved); len(moved) == 0 {
					break
				}
			}
			heldAfter := map[string]int{}
			for _, h := range holder {
				heldAfter[h]++
			}
			fewest, most := n, 0
			for _, m := range members {
				fewest, most = min(fewest, heldAfter[m]), max(most, heldAfter[m])
			}
			if most-fewest > 1 || moves > minMoves {
				t.Fatalf("%d to %d shards per member, %d moves, want at most %d", fewest, most, moves, minMoves)
			}
		}
	})
}

// TestPlanByLoad assigns a shard to the least loaded of the members with equally many shards. The number of shards has precedence
// over the load, and small differences in load are ignored.
func TestPlanByLoad(t *testing.T) {
	members := []string{"a", "b", "c"}
	one := []Shard{{ID: 0}}
	first, _ := Plan("t", one, members, nil, 0)
	for _, c := range []struct {
		load map[string]uint16
		want string
	}{{nil, first[0].Member}, {map[string]uint16{"a": 40, "b": 9, "c": 40}, "b"}, {map[string]uint16{"a": 9, "b": 40, "c": 40}, "a"},
		{map[string]uint16{"a": 33, "b": 40, "c": 60}, first[0].Member}} {
		if got, _ := Plan("t", one, members, c.load, 0); got[0].Member != c.want {
			t.Errorf("load %v: assigned to %s, want %s", c.load, got[0].Member, c.want)
		}
	}
	two := []Shard{{ID: 0, Holder: "b"}, {ID: 1}}
	if got, _ := Plan("t", two, members, map[string]uint16{"a": 400, "c": 400}, 0); got[0].Member == "b" {
		t.Error("a member that has a shard was assigned another because of its lower load")
	}
}
