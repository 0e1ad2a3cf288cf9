// Package outlierboard is the agents' board of targets that are avoided: which members avoid which, who is to try them, and what was found out,
// with its age. It is a guarded place: a result counts under the newest token alone (docs/leases.md, Places). It does no I/O.
package outlierboard

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"spindlehitch/internal/controlplane/lease"
)

// mostFound bounds the results that are kept.
const mostFound = 4 * lease.MostTargets

// Board is one keeper's. Its zero value has nothing.
type Board struct {
	avoids map[string][]string // by member, as it said last
	by     map[string]int      // how many members avoid a target
	found  map[string]found
}

type found struct {
	lease.Result
	at time.Duration // when it was told
}

// Note takes over which targets a member avoids.
func (b *Board) Note(id string, targets []string) {
	if b.avoids == nil {
		b.avoids, b.by, b.found = map[string][]string{}, map[string]int{}, map[string]found{}
	}
	for _, t := range b.avoids[id] {
		if b.by[t]--; b.by[t] <= 0 {
			delete(b.by, t)
		}
	}
	targets = slices.Compact(slices.Sorted(slices.Values(targets[:min(len(targets), lease.MostTargets)])))
	if len(targets) == 0 {
		delete(b.avoids, id)
		return
	}
	b.avoids[id] = targets
	for _, t := range targets {
		b.by[t]++
	}
}

// Keep forgets members that are no more, and results that are older than that.
func (b *Board) Keep(now, within time.Duration, alive func(id string) bool) {
	for id := range b.avoids {
		if !alive(id) {
			b.Note(id, nil)
		}
	}
	maps.DeleteFunc(b.found, func(_ string, f found) bool { return now-f.at > within })
}

// Take notes a result whose token is that of the target's shard now, as the caller has just made sure. One under an older token
// than that of a result here is refused.
func (b *Board) Take(now time.Duration, r lease.Result) bool {
	if b.by[r.Target] == 0 {
		return false // nobody asks any more
	}
	if f, there := b.found[r.Target]; there && r.Token < f.Token || !there && len(b.found) >= mostFound {
		return false
	}
	b.found[r.Target] = found{r, now}
	return true
}

// Work is the targets that somebody avoids, of those wanted, in order.
func (b *Board) Work(wanted func(target string) bool) (all []string) {
	for t := range b.by {
		if wanted(t) {
			all = append(all, t)
		}
	}
	slices.Sort(all)
	return all[:min(len(all), lease.MostTargets)]
}

// News is what is known of the targets that a member avoids. Ages are what their finders said and the time since.
func (b *Board) News(now time.Duration, id string) (all []lease.Result) {
	for _, t := range b.avoids[id] {
		if f, there := b.found[t]; there {
			r := f.Result
			r.AgoMs += (now - f.at).Milliseconds()
			all = append(all, r)
		}
	}
	return all
}

// Line is one target on the board.
type Line struct {
	Target string        `json:"target"`
	By     int           `json:"avoided_by"`
	Found  *lease.Result `json:"found,omitempty"`
}

// Lines is all targets that somebody avoids, in order.
func (b *Board) Lines(now time.Duration) []Line {
	all := []Line{}
	for t, n := range b.by {
		l := Line{Target: t, By: n}
		if f, there := b.found[t]; there {
			r := f.Result
			r.AgoMs += (now - f.at).Milliseconds()
			l.Found = &r
		}
		all = append(all, l)
	}
	slices.SortFunc(all, func(a, b Line) int { return cmp.Compare(a.Target, b.Target) })
	return all
}
