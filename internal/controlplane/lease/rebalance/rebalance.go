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

// Shard is a shard's current assignment.
type Shard struct {
	ID     int
	Holder string // empty: none
	Pinned bool   // it must not move
	Avoid  string // member that is assigned the shard only if there is no other
}

// Assignment assigns a shard to a member.
type Assignment struct {
	Shard  int
	Member string
}

// Plan assigns shards without a holder, or whose holder is not among the members, to the members with
// the fewest shards; then, while one member has at least two more than another, it moves a shard from
// the first to the second, maxMoves at most. Ties go to the member with the lower load, compared by
// powers of two, and then by rendezvous hashing of member and shard (Thaler and Ravishankar, 1998), so
// that tasks with one shard each are not all assigned to one member. The result does not depend on the
// members' order.
func Plan(task string, shards []Shard, members []string, load map[string]uint16, maxMoves int) (assigned, moved []Assignment) {
	if len(members) == 0 {
		return nil, nil
	}
	p := newPlan(task, members, load)
	for _, s := range p.place(shards) {
		to := p.fewestShards(s.ID, s.Avoid)
		p.held[to] = append(p.held[to], s.ID)
		p.pinned[s.ID] = true
		assigned = append(assigned, Assignment{s.ID, to})
	}
	for len(moved) < maxMoves {
		from, shard := p.mostShards()
		if from == "" {
			break
		}
		to := p.fewestShards(shard, "")
		if len(p.held[from])-len(p.held[to]) < 2 {
			break
		}
		p.held[from] = slices.DeleteFunc(p.held[from], func(s int) bool { return s == shard })
		p.held[to] = append(p.held[to], shard)
		p.pinned[shard] = true
		moved = append(moved, Assignment{shard, to})
	}
	return assigned, moved
}

// plan is the working state of Plan.
type plan struct {
	task    string
	members []string // sorted
	load    map[string]uint16
	held    map[string][]int // shards by member
	pinned  map[int]bool     // shards that must not move, or were assigned by this plan
}

func newPlan(task string, members []string, load map[string]uint16) *plan {
	p := &plan{task: task, members: slices.Sorted(slices.Values(members)), load: load, held: make(map[string][]int, len(members)), pinned: map[int]bool{}}
	for _, m := range p.members {
		p.held[m] = nil
	}
	return p
}

// place records the shards at their current holders, and returns those without a holder among the
// members.
func (p *plan) place(shards []Shard) (orphans []Shard) {
	for _, s := range shards {
		if _, found := p.held[s.Holder]; !found {
			orphans = append(orphans, s)
			continue
		}
		p.pinned[s.ID] = s.Pinned
		p.held[s.Holder] = append(p.held[s.Holder], s.ID)
	}
	return orphans
}

// fewestShards returns the member that should get a shard; avoid is returned only if there is no other.
func (p *plan) fewestShards(shard int, avoid string) (best string) {
	for _, m := range p.members {
		if m == avoid && len(p.members) > 1 {
			continue
		}
		if best == "" || cmp.Or(cmp.Compare(len(p.held[m]), len(p.held[best])), cmp.Compare(bits.Len16(p.load[m]), bits.Len16(p.load[best])),
			cmp.Compare(score(p.task, shard, best), score(p.task, shard, m))) < 0 {
			best = m
		}
	}
	return best
}

// mostShards returns the member with the most shards among those that have a movable one, and that shard; empty: none
// has.
func (p *plan) mostShards() (from string, shard int) {
	for _, m := range p.members {
		if from != "" && len(p.held[m]) <= len(p.held[from]) {
			continue
		}
		if at := slices.IndexFunc(p.held[m], func(s int) bool { return !p.pinned[s] }); at >= 0 {
			from, shard = m, p.held[m][at]
		}
	}
	return from, shard
}

// score returns the rendezvous hash of a member for a shard.
func score(task string, shard int, member string) uint64 {
	return xxhash.Sum64String(task + "\x00" + strconv.Itoa(shard) + "\x00" + member)
}
