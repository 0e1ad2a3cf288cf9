package targetmerge

import (
	"fmt"
	"maps"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"spindlehitch/internal/datapath/targetlist"
	"spindlehitch/internal/testbed/seeded"
)

func TestMain(m *testing.M) { seeded.Main(m) }

// sourceList is a list from one source.
type sourceList struct {
	from Source
	list *targetlist.List
}

// drawLists draws lists of two sources with few targets and few starts, so that these coincide often. They include lists
// that return to an older state and lists that contradict themselves.
func drawLists(t *rapid.T) []sourceList {
	var all []sourceList
	for range rapid.IntRange(1, 30).Draw(t, "lists") {
		l := &targetlist.List{Full: rapid.IntRange(0, 3).Draw(t, "full") == 0}
		has := map[string]bool{}
		for range rapid.IntRange(0, 4).Draw(t, "entries") {
			cell := rapid.IntRange(0, 1).Draw(t, "cell")
			e := targetlist.Entry{ID: fmt.Sprint("t", rapid.IntRange(0, 3).Draw(t, "id")), Addr: fmt.Sprint("10.0.0.1:", rapid.IntRange(1, 3).Draw(t, "port")), Zone: "z",
				Shard: &cell, State: rapid.SampledFrom([]string{serving, serving, draining, deleted}).Draw(t, "state"), StartedMs: int64(rapid.IntRange(0, 3).Draw(t, "started"))}
			if l.Full && has[e.ID] {
				continue // a full list names a target once
			}
			has[e.ID] = true
			l.Targets = append(l.Targets, e)
		}
		all = append(all, sourceList{Source(rapid.IntRange(0, 1).Draw(t, "from")), l})
	}
	return all
}

// mergedList is the merged list, by id, as a receiver of its changes reconstructs it.
type mergedList map[string]targetlist.Entry

func (s mergedList) apply(l *targetlist.List) {
	if l == nil {
		return
	}
	if l.Full {
		clear(s)
	}
	for _, e := range l.Targets {
		if s[e.ID] = e; e.State == deleted {
			delete(s, e.ID)
		}
	}
}

// targetState is a target's start and state, without its address.
type targetState struct {
	started int64
	state   string
}

func (s mergedList) states() map[string]targetState {
	all := map[string]targetState{}
	for id, e := range s {
		all[id] = targetState{e.StartedMs, e.State}
	}
	return all
}

// referenceMerge computes the merged list by its definition from all lists so far. A target's start is the latest in any list,
// and its state the highest in any list for that start; it is not in the merged list if a source that has listed that start no
// longer lists the target.
func referenceMerge(all []sourceList) map[string]targetState { //nolint:gocognit // one scenario in sequence
	type history struct {
		starts map[int64]int // highest rank of a state, by start
		listed bool          // whether the source lists it now
	}
	out := map[string]targetState{}
	for i := range 4 {
		id := fmt.Sprint("t", i)
		var by [sourceCount]*history
		for _, s := range all {
			h, named := by[s.from], false
			for _, e := range s.list.Targets {
				if e.ID != id {
					continue
				}
				named = true
				if h == nil {
					if e.State == deleted && e.StartedMs == 0 {
						continue
					}
					h = &history{starts: map[int64]int{}}
					by[s.from] = h
				}
				h.listed = e.State != deleted
				if e.State != deleted || e.StartedMs > 0 {
					h.starts[e.StartedMs] = max(h.starts[e.StartedMs], stateRank(e.State))
				}
			}
			if s.list.Full && !named && h != nil {
				h.listed = false
			}
		}
		start := int64(-1)
		for _, h := range by {
			if h != nil {
				start = max(start, slices.Max(slices.Collect(maps.Keys(h.starts))))
			}
		}
		state, known := serving, false
		for _, h := range by {
			if h == nil {
				continue
			}
			r, hasStart := h.starts[start]
			if !hasStart {
				continue
			}
			known = true
			if !h.listed {
				r = stateRank(deleted)
			}
			state = []string{serving, draining, deleted}[max(stateRank(state), r)]
		}
		if known && state != deleted {
			out[id] = targetState{start, state}
		}
	}
	return out
}

// TestMergeMatchesReference compares the view, and the sum of the changes that it returned, with referenceMerge after each
// list.
func TestMergeMatchesReference(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		all := drawLists(t)
		v, s := New(DefaultMaxRemoved), mergedList{}
		for i, x := range all {
			l := v.Merge(x.from, x.list)
			if l != nil && (l.Full || len(l.Targets) == 0) {
				t.Fatalf("list %d: Merge returned %+v, wanted changes", i, l)
			}
			s.apply(l)
			full := mergedList{}
			full.apply(v.Full())
			if !maps.EqualFunc(full, s, sameEntry) {
				t.Fatalf("after list %d: full list %v, changes give %v", i, full, s)
			}
			if want := referenceMerge(all[:i+1]); !maps.Equal(want, s.states()) {
				t.Fatalf("after list %d: %v, wanted %v", i, s.states(), want)
			}
			if v.Len() != len(s) {
				t.Fatalf("after list %d: %d targets, changes give %d", i, v.Len(), len(s))
			}
		}
	})
}

// TestMergeIndependentOfSourceOrder merges the lists of both sources in another order, without reordering those of one
// source: the targets' states must be the same.
func TestMergeIndependentOfSourceOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		all := drawLists(t)
		var bySource [sourceCount][]sourceList
		for _, x := range all {
			bySource[x.from] = append(bySource[x.from], x)
		}
		var reordered []sourceList
		for len(bySource[0])+len(bySource[1]) > 0 {
			from := rapid.IntRange(0, 1).Draw(t, "next")
			if len(bySource[from]) == 0 {
				from = 1 - from
			}
			reordered, bySource[from] = append(reordered, bySource[from][0]), bySource[from][1:]
		}
		replay := func(all []sourceList) map[string]targetState {
			v, s := New(DefaultMaxRemoved), mergedList{}
			for _, x := range all {
				s.apply(v.Merge(x.from, x.list))
			}
			return s.states()
		}
		if a, b := replay(all), replay(reordered); !maps.Equal(a, b) {
			t.Fatalf("%v in one order, %v in the other", a, b)
		}
	})
}

// TestMonotone checks that the merged list never returns to an older start, nor from DRAINING to SERVING for the same start,
// and that a repeated list changes nothing unless it contradicts itself.
func TestMonotone(t *testing.T) { //nolint:gocognit // one scenario in sequence
	rapid.Check(t, func(t *rapid.T) {
		v, s := New(DefaultMaxRemoved), mergedList{}
		started, drainedBefore := map[string]int64{}, map[string]int64{}
		for _, x := range drawLists(t) {
			l := v.Merge(x.from, x.list)
			s.apply(l)
			// Latest start, plus one, for which either source has listed the target as draining.
			for _, e := range x.list.Targets {
				if e.State == draining {
					drainedBefore[e.ID] = max(drainedBefore[e.ID], e.StartedMs+1)
				}
			}
			for id, e := range s {
				if e.StartedMs < started[id] {
					t.Fatalf("%s went back from start %d to %d", id, started[id], e.StartedMs)
				}
				started[id] = e.StartedMs
				if e.State == serving && e.StartedMs < drainedBefore[id] {
					t.Fatalf("%s is serving at start %d, but was draining at start %d", id, e.StartedMs, drainedBefore[id]-1)
				}
			}
			if repeated := v.Merge(x.from, x.list); repeated != nil {
				names := map[string]int{}
				for _, e := range x.list.Targets {
					names[e.ID]++
				}
				for _, e := range repeated.Targets {
					if names[e.ID] < 2 { // two entries for one target in one change may contradict each other
						t.Fatalf("a repeated list changed %+v", e)
					}
				}
				s.apply(repeated)
			}
		}
	})
}

func targetEntry(state string, started int64, addr string) targetlist.Entry {
	cell := 0
	return targetlist.Entry{ID: "t", Addr: addr, Zone: "z", Shard: &cell, State: state, StartedMs: started}
}

// TestMergeCases checks single cases.
func TestMergeCases(t *testing.T) {
	change := func(e ...targetlist.Entry) *targetlist.List { return &targetlist.List{Targets: e} }
	full := func(e ...targetlist.Entry) *targetlist.List { return &targetlist.List{Full: true, Targets: e} }
	for _, c := range []struct {
		name string
		all  []sourceList
		want string
	}{
		{"a single source", []sourceList{{WatchStream, change(targetEntry(serving, 5, "a:1"))}}, "SERVING 5 a:1"},
		{"drain in the stream, discovery lags", []sourceList{{Discovery, full(targetEntry(serving, 5, "a:1"))}, {WatchStream, change(targetEntry(draining, 5, "a:1"))}, {Discovery, full(targetEntry(serving, 5, "a:1"))}}, "DRAINING 5 a:1"},
		{"drain in discovery, the stream lags", []sourceList{{Discovery, full(targetEntry(draining, 5, "a:1"))}, {WatchStream, change(targetEntry(serving, 5, "a:1"))}}, "DRAINING 5 a:1"},
		{"a source cannot undo its own drain", []sourceList{{WatchStream, change(targetEntry(draining, 5, "a:1"))}, {WatchStream, change(targetEntry(serving, 5, "a:1"))}}, "DRAINING 5 a:1"},
		{"restarted", []sourceList{{Discovery, full(targetEntry(draining, 5, "a:1"))}, {WatchStream, change(targetEntry(serving, 6, "b:1"))}}, "SERVING 6 b:1"},
		{"older start ignored", []sourceList{{WatchStream, change(targetEntry(serving, 6, "b:1"))}, {Discovery, full(targetEntry(draining, 5, "a:1"))}}, "SERVING 6 b:1"},
		{"no longer listed", []sourceList{{Discovery, full(targetEntry(serving, 5, "a:1"))}, {WatchStream, change(targetEntry(serving, 5, "a:1"))}, {Discovery, full()}}, ""},
		{"no longer listed at an older start", []sourceList{{Discovery, full(targetEntry(serving, 5, "a:1"))}, {WatchStream, change(targetEntry(serving, 6, "a:1"))}, {Discovery, full()}}, "SERVING 6 a:1"},
		{"empty list by mistake", []sourceList{{Discovery, full(targetEntry(serving, 5, "a:1"))}, {Discovery, full()}, {Discovery, full(targetEntry(serving, 5, "a:1"))}}, "SERVING 5 a:1"},
		{"drain kept while not listed", []sourceList{{Discovery, full(targetEntry(draining, 5, "a:1"))}, {Discovery, full()}, {Discovery, full(targetEntry(serving, 5, "a:1"))}}, "DRAINING 5 a:1"},
		{"deleted in the stream", []sourceList{{Discovery, full(targetEntry(serving, 5, "a:1"))}, {WatchStream, change(targetEntry(serving, 5, "a:1"))}, {WatchStream, change(targetlist.Entry{ID: "t", State: deleted})}}, ""},
		{"deleted at that start, still listed by the lagging source", []sourceList{{WatchStream, change(targetEntry(deleted, 5, "a:1"))}, {Discovery, full(targetEntry(serving, 5, "a:1"))}}, ""},
		{"deleted at an older start", []sourceList{{WatchStream, change(targetEntry(deleted, 4, "a:1"))}, {Discovery, full(targetEntry(serving, 5, "a:1"))}}, "SERVING 5 a:1"},
		{"deleted without having been listed", []sourceList{{WatchStream, change(targetlist.Entry{ID: "t", State: deleted})}, {WatchStream, change(targetEntry(serving, 0, "a:1"))}}, "SERVING 0 a:1"},
		{"address changed: last change wins", []sourceList{{Discovery, full(targetEntry(serving, 5, "a:1"))}, {WatchStream, change(targetEntry(serving, 5, "b:1"))}}, "SERVING 5 b:1"},
		{"address changed: a repeated list is no change", []sourceList{{Discovery, full(targetEntry(serving, 5, "a:1"))}, {WatchStream, change(targetEntry(serving, 5, "b:1"))}, {Discovery, full(targetEntry(serving, 5, "a:1"))}}, "SERVING 5 b:1"},
		{"address changed while draining", []sourceList{{Discovery, full(targetEntry(draining, 5, "a:1"))}, {Discovery, full(targetEntry(serving, 5, "b:1"))}}, "DRAINING 5 b:1"},
	} {
		t.Run(c.name, func(t *testing.T) {
			v, s := New(DefaultMaxRemoved), mergedList{}
			for _, x := range c.all {
				s.apply(v.Merge(x.from, x.list))
			}
			got := ""
			if e, there := s["t"]; there {
				got = fmt.Sprint(e.State, " ", e.StartedMs, " ", e.Addr)
			}
			require.Equal(t, c.want, got)
		})
	}
}

// TestRemovedTargetsBounded adds and removes many targets: the number of remembered removed targets is bounded, the oldest
// removals are forgotten first, and a target that is listed again is kept.
func TestRemovedTargetsBounded(t *testing.T) {
	v := New(8)
	at := func(id, state string, started int64) *targetlist.List {
		e := targetEntry(state, started, "a:1")
		e.ID = id
		return &targetlist.List{Targets: targetlist.Entries{e}}
	}
	for i := range 100 {
		id := fmt.Sprint("t", i)
		v.Merge(Discovery, at(id, draining, 1))
		v.Merge(WatchStream, at(id, serving, 1))
		v.Merge(Discovery, at(id, deleted, 0))
		require.LessOrEqual(t, len(v.targets), 9, "the stream still lists one")
		v.Merge(WatchStream, at(id, deleted, 0))
		require.LessOrEqual(t, len(v.targets), 8)
	}
	v.Merge(WatchStream, at("t95", serving, 1))
	for i := 100; i < 120; i++ {
		id := fmt.Sprint("t", i)
		v.Merge(WatchStream, at(id, serving, 1))
		v.Merge(WatchStream, at(id, deleted, 1))
	}
	require.Len(t, v.targets, 9)
	require.Contains(t, v.targets, "t95")
	require.Nil(t, v.targets["t95"].published, "discovery deleted it at that start")
	require.Contains(t, v.targets, "t119")
	require.NotContains(t, v.targets, "t111")
}
