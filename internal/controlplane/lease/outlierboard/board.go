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

// maxResults bounds the results that are kept.
const maxResults = 4 * lease.MaxTargets

// Board is one keeper's. Its zero value has nothing.
type Board struct {
	ejectedBy map[string][]string // by member, as it said last
	reporters map[string]int      // how many members avoid a target
	results   map[string]timedResult
}

type timedResult struct {
	lease.ProbeResult
	receivedAt time.Duration // when it was told
}

// SetEjected takes over which targets a member avoids.
func (b *Board) SetEjected(id string, targets []string) {
	if b.ejectedBy == nil {
		b.ejectedBy, b.reporters, b.results = map[string][]string{}, map[string]int{}, map[string]timedResult{}
	}
	for _, t := range b.ejectedBy[id] {
		if b.reporters[t]--; b.reporters[t] <= 0 {
			delete(b.reporters, t)
		}
	}
	targets = slices.Compact(slices.Sorted(slices.Values(targets[:min(len(targets), lease.MaxTargets)])))
	if len(targets) == 0 {
		delete(b.ejectedBy, id)
		return
	}
	b.ejectedBy[id] = targets
	for _, t := range targets {
		b.reporters[t]++
	}
}

// Prune forgets members that are no more, and results that are older than that.
func (b *Board) Prune(now, within time.Duration, alive func(id string) bool) {
	for id := range b.ejectedBy {
		if !alive(id) {
			b.SetEjected(id, nil)
		}
	}
	maps.DeleteFunc(b.results, func(_ string, f timedResult) bool { return now-f.receivedAt > within })
}

// AddResult notes a result whose token is that of the target's shard now, as the caller has just made sure. One under an older token
// than that of a result here is refused.
func (b *Board) AddResult(now time.Duration, r lease.ProbeResult) bool {
	if b.reporters[r.Target] == 0 {
		return false // nobody asks any more
	}
	if f, there := b.results[r.Target]; there && r.Token < f.Token || !there && len(b.results) >= maxResults {
		return false
	}
	b.results[r.Target] = timedResult{r, now}
	return true
}

// ProbeTargets is the targets that somebody avoids, of those wanted, in order.
func (b *Board) ProbeTargets(wanted func(target string) bool) (all []string) {
	for t := range b.reporters {
		if wanted(t) {
			all = append(all, t)
		}
	}
	slices.Sort(all)
	return all[:min(len(all), lease.MaxTargets)]
}

// ResultsFor is what is known of the targets that a member avoids. Ages are what their finders said and the time since.
func (b *Board) ResultsFor(now time.Duration, id string) (all []lease.ProbeResult) {
	for _, t := range b.ejectedBy[id] {
		if f, there := b.results[t]; there {
			r := f.ProbeResult
			r.AgeMs += (now - f.receivedAt).Milliseconds()
			all = append(all, r)
		}
	}
	return all
}

// Entry is one target on the board.
type Entry struct {
	Target    string             `json:"target"`
	Reporters int                `json:"avoided_by"`
	Result    *lease.ProbeResult `json:"found,omitempty"`
}

// Entries is all targets that somebody avoids, in order.
func (b *Board) Entries(now time.Duration) []Entry {
	all := []Entry{}
	for t, n := range b.reporters {
		l := Entry{Target: t, Reporters: n}
		if f, there := b.results[t]; there {
			r := f.ProbeResult
			r.AgeMs += (now - f.receivedAt).Milliseconds()
			l.Result = &r
		}
		all = append(all, l)
	}
	slices.SortFunc(all, func(a, b Entry) int { return cmp.Compare(a.Target, b.Target) })
	return all
}
