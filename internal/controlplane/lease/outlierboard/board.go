// Package outlierboard is the leading agent's view of ejected targets: which members have ejected
// which targets, which targets to probe, and the probe results with their ages. A result counts only
// under the newest fencing token of the target's shard (docs/leases.md, Places). It does no I/O.
package outlierboard

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"spindlehitch/internal/controlplane/lease"
)

// maxResults is the maximum number of results that a Board keeps.
const maxResults = 4 * lease.MaxTargets

// Board is the view of one term. The zero value is empty. It is not safe for concurrent use.
type Board struct {
	ejectedBy map[string][]string    // targets by member, as last reported
	reporters map[string]int         // number of members that have ejected a target
	results   map[string]timedResult // by target
}

// timedResult is a result with the time at which it arrived.
type timedResult struct {
	lease.ProbeResult
	receivedAt time.Duration
}

// SetEjected replaces the targets that a member has ejected.
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

// Prune removes members that are not alive, and results received more than maxAge ago.
func (b *Board) Prune(now, maxAge time.Duration, alive func(id string) bool) {
	for id := range b.ejectedBy {
		if !alive(id) {
			b.SetEjected(id, nil)
		}
	}
	maps.DeleteFunc(b.results, func(_ string, r timedResult) bool { return now-r.receivedAt > maxAge })
}

// AddResult records a result and reports whether it did. The caller must have checked that the
// result's token is the current one of the target's shard. A result under an older token than the one
// recorded is rejected.
func (b *Board) AddResult(now time.Duration, r lease.ProbeResult) bool {
	if b.reporters[r.Target] == 0 {
		return false // no member ejects it any more
	}
	if last, found := b.results[r.Target]; found && r.Token < last.Token || !found && len(b.results) >= maxResults {
		return false
	}
	b.results[r.Target] = timedResult{r, now}
	return true
}

// ProbeTargets returns the ejected targets that accept returns true for, in order, up to
// lease.MaxTargets.
func (b *Board) ProbeTargets(accept func(target string) bool) (all []string) {
	for t := range b.reporters {
		if accept(t) {
			all = append(all, t)
		}
	}
	slices.Sort(all)
	return all[:min(len(all), lease.MaxTargets)]
}

// ResultsFor returns the results for the targets that a member has ejected, with their ages.
func (b *Board) ResultsFor(now time.Duration, id string) (all []lease.ProbeResult) {
	for _, t := range b.ejectedBy[id] {
		if last, there := b.results[t]; there {
			r := last.ProbeResult
			r.AgeMs += (now - last.receivedAt).Milliseconds()
			all = append(all, r)
		}
	}
	return all
}

// Entry is one ejected target with its last probe result, if any.
type Entry struct {
	Target    string             `json:"target"`
	Reporters int                `json:"avoided_by"`
	Result    *lease.ProbeResult `json:"found,omitempty"`
}

// Entries returns all ejected targets in order.
func (b *Board) Entries(now time.Duration) []Entry {
	all := []Entry{}
	for t, n := range b.reporters {
		entry := Entry{Target: t, Reporters: n}
		if last, there := b.results[t]; there {
			r := last.ProbeResult
			r.AgeMs += (now - last.receivedAt).Milliseconds()
			entry.Result = &r
		}
		all = append(all, entry)
	}
	slices.SortFunc(all, func(a, b Entry) int { return cmp.Compare(a.Target, b.Target) })
	return all
}
