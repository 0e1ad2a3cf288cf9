// Package rebalance assigns shards to members: evenly, with as few moves as possible and a bounded
// number at a time. It does no I/O.
package rebalance

import (
	"cmp"
	"math/bits"
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// Shard is a shard's present assignment.
type Shard struct {
	ID     int
	Holder string // empty: nobody
	Pinned bool   // it must not move
	Avoid  string // member that gets it only if there is no other
}

// Assignment assigns a shard to a member.
type Assignment struct {
	Shard  int
	Member string
}

// Plan assigns shards without a holder, or whose holder is not among the members, to the members with
// the fewest shards; then, while one member has at least two more than another, it moves a shard from
// the first to the second, maxMoves at most. Ties go to the member with less load, if another has at
// least twice as much, and then by rendezvous hashing of member and shard (Thaler and Ravishankar,
// 1998), so that tasks with one shard each do not all meet at one member. The result does not depend
// on the members' order.
func Plan(task string, shards []Shard, members []string, load map[string]uint16, maxMoves int) (given, moved []Assignment) {
	if len(members) == 0 {
		return nil, nil
	}
	members = slices.Sorted(slices.Values(members))
	has := make(map[string][]int, len(members))
	for _, m := range members {
		has[m] = nil
	}
	var orphans []Shard
	fixed := map[int]bool{}
	for _, s := range shards {
		if _, there := has[s.Holder]; !there {
			orphans = append(orphans, s)
			continue
		}
		fixed[s.ID] = s.Pinned
		has[s.Holder] = append(has[s.Holder], s.ID)
	}
	least := func(shard int, not string) (best string) {
		for _, m := range members {
			if m == not && len(members) > 1 {
				continue
			}
			if best == "" || cmp.Or(cmp.Compare(len(has[m]), len(has[best])), cmp.Compare(bits.Len16(load[m]), bits.Len16(load[best])),
				cmp.Compare(score(task, shard, best), score(task, shard, m))) < 0 {
				best = m
			}
		}
		return best
	}
	for _, s := range orphans {
		to := least(s.ID, s.Avoid)
		has[to] = append(has[to], s.ID)
		fixed[s.ID] = true
		given = append(given, Assignment{s.ID, to})
	}
	for len(moved) < maxMoves {
		from, shard := "", 0
		for _, m := range members {
			if from != "" && len(has[m]) <= len(has[from]) {
				continue
			}
			if at := slices.IndexFunc(has[m], func(s int) bool { return !fixed[s] }); at >= 0 {
				from, shard = m, has[m][at]
			}
		}
		if from == "" {
			break
		}
		to := least(shard, "")
		if len(has[from])-len(has[to]) < 2 {
			break
		}
		has[from] = slices.DeleteFunc(has[from], func(s int) bool { return s == shard })
		has[to] = append(has[to], shard)
		fixed[shard] = true
		moved = append(moved, Assignment{shard, to})
	}
	return given, moved
}

// score is the rendezvous hash of a member for a shard.
func score(task string, shard int, member string) uint64 {
	return xxhash.Sum64String(task + "\x00" + strconv.Itoa(shard) + "\x00" + member)
}
