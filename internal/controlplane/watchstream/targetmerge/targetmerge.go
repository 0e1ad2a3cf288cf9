// Package targetmerge joins what two sources tell of the targets, discovery and the feed, into one list, of which it tells the changes. It has
// no clock, no sockets and no goroutines.
//
// Either source may lag, so what counts is not who spoke last but what is newer of the target itself: words are joined as in a lattice, by
// the target's start first, then by SERVING < DRAINING < DELETED. A drain therefore never goes back for the same start, whichever source
// still says SERVING, and the order in which the two are heard makes no difference to where a target stands.
//
// A source that names a target no more, after it had, counts as telling it DELETED at the start that it knew. That alone can be taken back,
// by the same source: a list that came empty by mistake must not end all targets until each of them starts again.
package targetmerge

import (
	"container/list"
	"slices"
	"strings"

	"spindlehitch/internal/datapath/listing"
)

// Source is who tells of targets.
type Source int

const (
	Discovery Source = iota
	Feed
	sources
)

// DefaultMaxRemoved is how many targets that no source names any more are remembered: as many as the feed keeps gone records for. Longer ago, a
// source that lags would have to lag by so many removals to bring back one of them, and it could do so for that start alone.
const DefaultMaxRemoved = 1 << 14

const (
	serving  = "SERVING"
	draining = "DRAINING"
	deleted  = "DELETED"
)

// stateRank orders the states of one start.
func stateRank(state string) int { return slices.Index([]string{serving, draining, deleted}, state) }

// sourceEntry is all that one source has told of a target, joined: its greatest start, and the greatest rank at it.
type sourceEntry struct {
	listing.Entry
	changedAt uint64 // when it last changed, counted over all words
	listed    bool   // it still does
}

// effectiveState is what the word comes to.
func (w *sourceEntry) effectiveState() string {
	if !w.listed {
		return deleted
	}
	return w.State
}

// target is one that a source names or has named.
type target struct {
	entries   [sources]*sourceEntry
	published *listing.Entry // as the joined list has it; nil: it has none
	removed   *list.Element  // among those that no source names
}

// effectiveEntry is what the words come to.
func (t *target) effectiveEntry() (e listing.Entry) {
	var from *sourceEntry
	for _, w := range t.entries {
		if w != nil && (from == nil || supersedes(w, from)) {
			from = w
		}
	}
	e = from.Entry
	e.State = from.effectiveState()
	return e
}

// supersedes tells whether a counts rather than b: of the same start and state, whoever told something new last.
func supersedes(a, b *sourceEntry) bool {
	if a.Started != b.Started {
		return a.Started > b.Started
	}
	if x, y := stateRank(a.effectiveState()), stateRank(b.effectiveState()); x != y {
		return x > y
	}
	return a.changedAt > b.changedAt
}

// View is the joined list. Its state is bounded by what the two sources name, and by how many that are gone it remembers.
type View struct {
	targets    map[string]*target
	removed    *list.List // ids, the longest gone first
	maxRemoved int
	changeSeq  uint64
	version    int64 // of the joined list
}

// New returns an empty view, that remembers so many targets that are gone.
func New(mostGone int) *View {
	return &View{targets: map[string]*target{}, removed: list.New(), maxRemoved: mostGone}
}

// Len is how many targets there are in the joined list.
func (v *View) Len() (n int) {
	for _, t := range v.targets {
		if t.published != nil {
			n++
		}
	}
	return n
}

// Full is the joined list, by id.
func (v *View) Full() *listing.List {
	l := v.newList()
	l.Full = true
	for _, t := range v.targets {
		if t.published != nil {
			l.Servers = append(l.Servers, *t.published)
		}
	}
	slices.SortFunc(l.Servers, func(a, b listing.Entry) int { return strings.Compare(a.ID, b.ID) })
	return l
}

func (v *View) newList() *listing.List {
	version := v.version
	return &listing.List{Version: &version}
}

// Merge joins a source's list or change, which has been checked, and returns what changed in the joined list; nil: nothing. An entry DELETED without a start, or with an older one than the source
// told before, says no more than that the source names it no longer.
func (v *View) Merge(from Source, l *listing.List) *listing.List {
	var touched []string
	named := make(map[string]bool, len(l.Servers))
	for _, e := range l.Servers {
		if !named[e.ID] {
			named[e.ID] = true
			touched = append(touched, e.ID)
		}
		v.mergeEntry(from, e)
	}
	if l.Full {
		var silent []string
		for id, t := range v.targets {
			if w := t.entries[from]; w != nil && w.listed && !named[id] {
				w.listed = false
				silent = append(silent, id)
			}
		}
		slices.Sort(silent) // equal lists are answered equally
		touched = append(touched, silent...)
	}
	var changed listing.Entries
	for _, id := range touched {
		if t := v.targets[id]; t != nil {
			if e, new := v.publish(t); new {
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
	out.Servers = changed
	return out
}

// mergeEntry joins an entry to what its source told before.
func (v *View) mergeEntry(from Source, e listing.Entry) {
	t := v.targets[e.ID]
	if t == nil {
		t = &target{}
	}
	w := t.entries[from]
	if w == nil {
		if e.State != deleted || e.Started > 0 { // of one that it never named, and no start of it: it tells nothing
			t.entries[from] = &sourceEntry{Entry: e, listed: e.State != deleted, changedAt: v.nextSeq()}
			v.targets[e.ID] = t
		}
		return
	}
	if e.State == deleted {
		if w.listed = false; e.Started <= 0 {
			return
		}
	} else {
		w.listed = true
	}
	switch {
	case e.Started < w.Started:
		return
	case e.Started == w.Started && stateRank(e.State) < stateRank(w.State):
		e.State = w.State // which stays, for this start; where it is may have changed all the same
	}
	if !sameEntry(e, w.Entry) {
		w.Entry, w.changedAt = e, v.nextSeq()
	}
}

func (v *View) nextSeq() uint64 {
	v.changeSeq++
	return v.changeSeq
}

// publish brings the joined list up to what the words come to, and tells whether that changed it.
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

// trackRemoved counts a target among those that are gone while no source names it, and forgets the longest gone beyond what is remembered.
func (v *View) trackRemoved(id string, t *target) {
	named := false
	for _, w := range t.entries {
		named = named || w != nil && w.listed
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

// sameEntry tells whether two entries say the same.
func sameEntry(a, b listing.Entry) bool {
	if (a.Cell == nil) != (b.Cell == nil) || a.Cell != nil && *a.Cell != *b.Cell {
		return false
	}
	a.Cell, b.Cell = nil, nil
	return a == b
}
