// Package targetmerge merges the target lists of two sources, discovery and the watch stream, into one
// list and returns its changes. It has no clock, no sockets and no goroutines; its types are not safe
// for concurrent use.
//
// Either source may lag, so the newer state of a target wins, not the later message. A target's entries
// are joined as in a lattice, ordered by the target's start time and then by SERVING < DRAINING <
// DELETED. Therefore a drain is never undone for the same start, even if the other source still lists
// the target as SERVING, and the order in which the two sources' lists arrive does not matter.
//
// If a source no longer lists a target, its entry counts as DELETED for the start that it had. Only this
// can be undone, by the same source: a list that was empty by mistake must not remove all targets until
// each of them restarts.
package targetmerge

import (
	"container/list"
	"slices"
	"strings"

	"spindlehitch/internal/datapath/targetlist"
)

// Source identifies where a list comes from.
type Source int

// The sources.
const (
	Discovery Source = iota
	WatchStream
	sourceCount
)

// DefaultMaxRemoved is the number of removed targets that a View remembers: as many as the stream keeps
// tombstones. Only a source that lags by more removals could bring a target back, and only for that
// start.
const DefaultMaxRemoved = 1 << 14

// The states of a target.
const (
	serving  = "SERVING"
	draining = "DRAINING"
	deleted  = "DELETED"
)

// stateRank returns the order of a state within one start.
func stateRank(state string) int { return slices.Index([]string{serving, draining, deleted}, state) }

// sourceEntry is the join of one source's entries for a target: its latest start with the highest state
// of that start.
type sourceEntry struct {
	targetlist.Entry
	changedAt uint64 // sequence number of its last change
	listed    bool   // whether the source still lists the target
}

// effectiveState returns the entry's state, or DELETED if the source no longer lists the target.
func (e *sourceEntry) effectiveState() string {
	if !e.listed {
		return deleted
	}
	return e.State
}

// target is a target that a source lists or has listed.
type target struct {
	entries   [sourceCount]*sourceEntry
	published *targetlist.Entry // its entry in the merged list; nil: not in the list
	removed   *list.Element     // element of View.removed; nil: a source lists the target
}

// effectiveEntry returns the join of both sources' entries.
func (t *target) effectiveEntry() (e targetlist.Entry) {
	var from *sourceEntry
	for _, entry := range t.entries {
		if entry != nil && (from == nil || supersedes(entry, from)) {
			from = entry
		}
	}
	e = from.Entry
	e.State = from.effectiveState()
	return e
}

// supersedes reports whether a wins over b: by the later start, then the higher state, then the last
// change.
func supersedes(a, b *sourceEntry) bool {
	if a.StartedMs != b.StartedMs {
		return a.StartedMs > b.StartedMs
	}
	if x, y := stateRank(a.effectiveState()), stateRank(b.effectiveState()); x != y {
		return x > y
	}
	return a.changedAt > b.changedAt
}

// View holds the merged list. Its size is bounded by the targets that the two sources list and the removed
// targets that it remembers.
type View struct {
	targets    map[string]*target
	removed    *list.List // ids of targets that no source lists, oldest removal first
	maxRemoved int        // upper limit of removed's length
	changeSeq  uint64     // last sequence number of a sourceEntry
	version    int64      // of the merged list
}

// New returns an empty view that remembers at most limit removed targets.
func New(limit int) *View {
	return &View{targets: map[string]*target{}, removed: list.New(), maxRemoved: limit}
}

// Len returns the number of targets in the merged list.
func (v *View) Len() (n int) {
	for _, t := range v.targets {
		if t.published != nil {
			n++
		}
	}
	return n
}

// Full returns the merged list as a full list, sorted by id.
func (v *View) Full() *targetlist.List {
	l := v.newList()
	l.Full = true
	for _, t := range v.targets {
		if t.published != nil {
			l.Targets = append(l.Targets, *t.published)
		}
	}
	slices.SortFunc(l.Targets, func(a, b targetlist.Entry) int { return strings.Compare(a.ID, b.ID) })
	return l
}

// newList returns an empty list with the current version.
func (v *View) newList() *targetlist.List {
	version := v.version
	return &targetlist.List{Version: &version}
}

// Merge joins a validated list, full or partial, of one source and returns the changes of the merged list;
// nil: no changes. A DELETED entry without a start, or with an older start than the source's entry, only
// means that the source no longer lists the target.
func (v *View) Merge(from Source, l *targetlist.List) *targetlist.List {
	var touched []string // ids, each once
	named := make(map[string]bool, len(l.Targets))
	for _, e := range l.Targets {
		if !named[e.ID] {
			named[e.ID] = true
			touched = append(touched, e.ID)
		}
		v.mergeEntry(from, e)
	}
	if l.Full {
		var dropped []string
		for id, t := range v.targets {
			if entry := t.entries[from]; entry != nil && entry.listed && !named[id] {
				entry.listed = false
				dropped = append(dropped, id)
			}
		}
		slices.Sort(dropped) // makes the result independent of map order
		touched = append(touched, dropped...)
	}
	var changed targetlist.Entries
	for _, id := range touched {
		if t := v.targets[id]; t != nil {
			if e, differs := v.publish(t); differs {
				changed = append(changed, e)
			}
			v.trackRemoved(id, t)
		}
	}
	if len(changed) == 0 {
		return nil
	}
	v.version++
	out := v.newList()
	out.Targets = changed
	return out
}

// mergeEntry joins an entry to the previous entry of its source.
func (v *View) mergeEntry(from Source, e targetlist.Entry) {
	t := v.targets[e.ID]
	if t == nil {
		t = &target{}
	}
	known := t.entries[from]
	if known == nil {
		if e.State != deleted || e.StartedMs > 0 { // DELETED without a start, for a target that the source never listed, has no information
			t.entries[from] = &sourceEntry{Entry: e, listed: e.State != deleted, changedAt: v.nextSeq()}
			v.targets[e.ID] = t
		}
		return
	}
	if e.State == deleted {
		if known.listed = false; e.StartedMs <= 0 {
			return
		}
	} else {
		known.listed = true
	}
	switch {
	case e.StartedMs < known.StartedMs:
		return
	case e.StartedMs == known.StartedMs && stateRank(e.State) < stateRank(known.State):
		e.State = known.State // the state is kept for this start, but the address may have changed
	}
	if !sameEntry(e, known.Entry) {
		known.Entry, known.changedAt = e, v.nextSeq()
	}
}

// nextSeq returns the next sequence number.
func (v *View) nextSeq() uint64 {
	v.changeSeq++
	return v.changeSeq
}

// publish updates a target's published entry and reports whether it changed.
func (v *View) publish(t *target) (targetlist.Entry, bool) {
	e := t.effectiveEntry()
	switch {
	case e.State == deleted && t.published == nil, t.published != nil && sameEntry(e, *t.published):
		return e, false
	case e.State == deleted:
		t.published = nil
	default:
		t.published = &e
	}
	return e, true
}

// trackRemoved adds the target to the removed ones if no source lists it, takes it out if one does, and
// forgets the oldest removed targets beyond the limit.
func (v *View) trackRemoved(id string, t *target) {
	stillListed := false
	for _, e := range t.entries {
		stillListed = stillListed || e != nil && e.listed
	}
	switch {
	case stillListed && t.removed != nil:
		v.removed.Remove(t.removed)
		t.removed = nil
	case !stillListed && t.removed == nil:
		t.removed = v.removed.PushBack(id)
	}
	for v.removed.Len() > v.maxRemoved {
		delete(v.targets, v.removed.Remove(v.removed.Front()).(string))
	}
}

// sameEntry reports whether two entries are equal.
func sameEntry(a, b targetlist.Entry) bool {
	if (a.Shard == nil) != (b.Shard == nil) || a.Shard != nil && *a.Shard != *b.Shard {
		return false
	}
	a.Shard, b.Shard = nil, nil
	return a == b
}
