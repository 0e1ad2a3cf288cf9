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

// MostGone is how many targets that no source names any more are remembered: as many as the feed keeps gone records for. Longer ago, a
// source that lags would have to lag by so many removals to bring back one of them, and it could do so for that start alone.
const MostGone = 1 << 14

const (
	serving  = "SERVING"
	draining = "DRAINING"
	deleted  = "DELETED"
)

// rank orders the states of one start.
func rank(state string) int { return slices.Index([]string{serving, draining, deleted}, state) }

// word is all that one source has told of a target, joined: its greatest start, and the greatest rank at it.
type word struct {
	listing.Entry
	told  uint64 // when it last changed, counted over all words
	names bool   // it still does
}

// state is what the word comes to.
func (w *word) state() string {
	if !w.names {
		return deleted
	}
	return w.State
}

// target is one that a source names or has named.
type target struct {
	words [sources]*word
	shown *listing.Entry // as the joined list has it; nil: it has none
	gone  *list.Element  // among those that no source names
}

// joined is what the words come to.
func (t *target) joined() (e listing.Entry) {
	var from *word
	for _, w := range t.words {
		if w != nil && (from == nil || newer(w, from)) {
			from = w
		}
	}
	e = from.Entry
	e.State = from.state()
	return e
}

// newer tells whether a counts rather than b: of the same start and state, whoever told something new last.
func newer(a, b *word) bool {
	if a.Started != b.Started {
		return a.Started > b.Started
	}
	if x, y := rank(a.state()), rank(b.state()); x != y {
		return x > y
	}
	return a.told > b.told
}

// View is the joined list. Its state is bounded by what the two sources name, and by how many that are gone it remembers.
type View struct {
	targets  map[string]*target
	gone     *list.List // ids, the longest gone first
	mostGone int
	told     uint64
	version  int64 // of the joined list
}

// New returns an empty view, that remembers so many targets that are gone.
func New(mostGone int) *View {
	return &View{targets: map[string]*target{}, gone: list.New(), mostGone: mostGone}
}

// Len is how many targets there are in the joined list.
func (v *View) Len() (n int) {
	for _, t := range v.targets {
		if t.shown != nil {
			n++
		}
	}
	return n
}

// Whole is the joined list, by id.
func (v *View) Whole() *listing.List {
	l := v.list()
	l.Full = true
	for _, t := range v.targets {
		if t.shown != nil {
			l.Servers = append(l.Servers, *t.shown)
		}
	}
	slices.SortFunc(l.Servers, func(a, b listing.Entry) int { return strings.Compare(a.ID, b.ID) })
	return l
}

func (v *View) list() *listing.List {
	version := v.version
	return &listing.List{Version: &version}
}

// Take joins a source's list or change, which has been checked, and returns what changed in the joined list; nil: nothing. An entry DELETED without a start, or with an older one than the source
// told before, says no more than that the source names it no longer.
func (v *View) Take(from Source, l *listing.List) *listing.List {
	var touched []string
	named := make(map[string]bool, len(l.Servers))
	for _, e := range l.Servers {
		if !named[e.ID] {
			named[e.ID] = true
			touched = append(touched, e.ID)
		}
		v.hear(from, e)
	}
	if l.Full {
		var silent []string
		for id, t := range v.targets {
			if w := t.words[from]; w != nil && w.names && !named[id] {
				w.names = false
				silent = append(silent, id)
			}
		}
		slices.Sort(silent) // equal lists are answered equally
		touched = append(touched, silent...)
	}
	var changed listing.Entries
	for _, id := range touched {
		if t := v.targets[id]; t != nil {
			if e, new := v.show(t); new {
				changed = append(changed, e)
			}
			v.keep(id, t)
		}
	}
	if len(changed) == 0 {
		return nil
	}
	v.version++
	out := v.list()
	out.Servers = changed
	return out
}

// hear joins an entry to what its source told before.
func (v *View) hear(from Source, e listing.Entry) {
	t := v.targets[e.ID]
	if t == nil {
		t = &target{}
	}
	w := t.words[from]
	if w == nil {
		if e.State != deleted || e.Started > 0 { // of one that it never named, and no start of it: it tells nothing
			t.words[from] = &word{Entry: e, names: e.State != deleted, told: v.next()}
			v.targets[e.ID] = t
		}
		return
	}
	if e.State == deleted {
		if w.names = false; e.Started <= 0 {
			return
		}
	} else {
		w.names = true
	}
	switch {
	case e.Started < w.Started:
		return
	case e.Started == w.Started && rank(e.State) < rank(w.State):
		e.State = w.State // which stays, for this start; where it is may have changed all the same
	}
	if !same(e, w.Entry) {
		w.Entry, w.told = e, v.next()
	}
}

func (v *View) next() uint64 {
	v.told++
	return v.told
}

// show brings the joined list up to what the words come to, and tells whether that changed it.
func (v *View) show(t *target) (listing.Entry, bool) {
	e := t.joined()
	switch {
	case e.State == deleted && t.shown == nil, t.shown != nil && same(e, *t.shown):
		return e, false
	case e.State == deleted:
		t.shown = nil
	default:
		t.shown = &e
	}
	return e, true
}

// keep counts a target among those that are gone while no source names it, and forgets the longest gone beyond what is remembered.
func (v *View) keep(id string, t *target) {
	named := false
	for _, w := range t.words {
		named = named || w != nil && w.names
	}
	switch {
	case named && t.gone != nil:
		v.gone.Remove(t.gone)
		t.gone = nil
	case !named && t.gone == nil:
		t.gone = v.gone.PushBack(id)
	}
	for v.gone.Len() > v.mostGone {
		delete(v.targets, v.gone.Remove(v.gone.Front()).(string))
	}
}

// same tells whether two entries say the same.
func same(a, b listing.Entry) bool {
	if (a.Cell == nil) != (b.Cell == nil) || a.Cell != nil && *a.Cell != *b.Cell {
		return false
	}
	a.Cell, b.Cell = nil, nil
	return a == b
}
