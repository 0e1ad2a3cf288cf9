// Package targetmerge joins what two sources say of the targets, discovery and the watch stream, into
// one list, and returns the changes of it. It has no clock, no sockets and no goroutines.
//
// Either source may lag, so the newer statement on a target wins, not the later message: statements
// are joined as in a lattice, by the target's start first, then by SERVING < DRAINING < DELETED. So a
// drain is never undone for the same start, whichever source still says SERVING, and the order in
// which the two are heard does not matter.
//
// A source that no longer lists a target counts as saying DELETED for the start that it knew. Only
// that can be undone, by the same source: a list that was empty by mistake must not remove all targets
// until each of them restarts.
package targetmerge

import (
	"container/list"
	"slices"
	"strings"

	"spindlehitch/internal/datapath/listing"
)

// Source is who makes a statement.
type Source int

// The sources.
const (
	Discovery Source = iota
	Feed
	sources
)

// DefaultMaxRemoved is how many removed targets are remembered: as many as the stream keeps tombstones
// for. A source would have to lag by so many removals to bring one back, and could do so for that
// start alone.
const DefaultMaxRemoved = 1 << 14

const (
	serving  = "SERVING"
	draining = "DRAINING"
	deleted  = "DELETED"
)

// stateRank orders the states of one start.
func stateRank(state string) int { return slices.Index([]string{serving, draining, deleted}, state) }

// sourceEntry is what one source has said of a target, joined: its latest start, and the highest state
// at it.
type sourceEntry struct {
	listing.Entry
	changedAt uint64 // sequence number of its last change
	listed    bool   // the source still lists it
}

// effectiveState is DELETED once the source does not list the target.
func (e *sourceEntry) effectiveState() string {
	if !e.listed {
		return deleted
	}
	return e.State
}

// target is a target that a source lists or has listed.
type target struct {
	entries   [sources]*sourceEntry
	published *listing.Entry // its entry in the joined list; nil: none
	removed   *list.Element  // among those that no source lists
}

// effectiveEntry is the join of both sources.
func (t *target) effectiveEntry() (e listing.Entry) {
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

// supersedes reports whether a wins over b: with the same start and state, the one that changed last.
func supersedes(a, b *sourceEntry) bool {
	if a.StartedMs != b.StartedMs {
		return a.StartedMs > b.StartedMs
	}
	if x, y := stateRank(a.effectiveState()), stateRank(b.effectiveState()); x != y {
		return x > y
	}
	return a.changedAt > b.changedAt
}

// View is the joined list. Its size is bounded by what the two sources list and by the removed targets
// that it remembers.
type View struct {
	targets    map[string]*target
	removed    *list.List // ids, the longest removed first
	maxRemoved int
	changeSeq  uint64
	version    int64 // of the joined list
}

// New returns an empty view that remembers so many removed targets.
func New(mostGone int) *View {
	return &View{targets: map[string]*target{}, removed: list.New(), maxRemoved: mostGone}
}

// Len is the number of targets in the joined list.
func (v *View) Len() (n int) {
	for _, t := range v.targets {
		if t.published != nil {
			n++
		}
	}
	return n
}

// Full returns the joined list, by id.
func (v *View) Full() *listing.List {
	l := v.newList()
	l.Full = true
	for _, t := range v.targets {
		if t.published != nil {
			l.Targets = append(l.Targets, *t.published)
		}
	}
	slices.SortFunc(l.Targets, func(a, b listing.Entry) int { return strings.Compare(a.ID, b.ID) })
	return l
}

// newList returns an empty list with the current version.
func (v *View) newList() *listing.List {
	version := v.version
	return &listing.List{Version: &version}
}

// Merge joins a source's list or change, which was validated, and returns what changed in the joined
// list; nil: nothing. An entry DELETED without a start, or with an older one than the source's, only
// says that the source does not list the target.
func (v *View) Merge(from Source, l *listing.List) *listing.List {
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
		var silent []string
		for id, t := range v.targets {
			if entry := t.entries[from]; entry != nil && entry.listed && !named[id] {
				entry.listed = false
				silent = append(silent, id)
			}
		}
		slices.Sort(silent) // so that the result does not depend on the order of the map
		touched = append(touched, silent...)
	}
	var changed listing.Entries
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

// mergeEntry joins an entry to what its source said before.
func (v *View) mergeEntry(from Source, e listing.Entry) {
	t := v.targets[e.ID]
	if t == nil {
		t = &target{}
	}
	known := t.entries[from]
	if known == nil {
		if e.State != deleted || e.StartedMs > 0 { // DELETED without a start, of a target that it never listed, says nothing
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
		e.State = known.State // the state stays for this start; the address may have changed all the same
	}
	if !sameEntry(e, known.Entry) {
		known.Entry, known.changedAt = e, v.nextSeq()
	}
}

// nextSeq is the next sequence number.
func (v *View) nextSeq() uint64 {
	v.changeSeq++
	return v.changeSeq
}

// publish updates a target's published entry and reports whether it changed.
func (v *View) publish(t *target) (listing.Entry, bool) {
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

// trackRemoved remembers targets that no source lists, and forgets the longest removed ones beyond the
// bound.
func (v *View) trackRemoved(id string, t *target) {
	named := false
	for _, e := range t.entries {
		named = named || e != nil && e.listed
	}
	switch {
	case named && t.removed != nil:
		v.removed.Remove(t.removed)
		t.removed = nil
	case !named && t.removed == nil:
		t.removed = v.removed.PushBack(id)
	}
	for v.removed.Len() > v.maxRemoved {
		delete(v.targets, v.removed.Remove(v.removed.Front()).(string))
	}
}

// sameEntry reports whether two entries are equal.
func sameEntry(a, b listing.Entry) bool {
	if (a.Shard == nil) != (b.Shard == nil) || a.Shard != nil && *a.Shard != *b.Shard {
		return false
	}
	a.Shard, b.Shard = nil, nil
	return a == b
}
