package targetmerge

import (
	"fmt"
	"maps"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"spindlehitch/internal/datapath/listing"
	"spindlehitch/internal/testbed/seeded"
)

func TestMain(m *testing.M) { seeded.Main(m) }

// said is one list of one source.
type said struct {
	from Source
	list *listing.List
}

// lists draws what two sources may tell, of few targets with few starts, so that they meet often: also what goes back and contradicts itself.
func lists(t *rapid.T) []said {
	var all []said
	for range rapid.IntRange(1, 30).Draw(t, "lists") {
		l := &listing.List{Full: rapid.IntRange(0, 3).Draw(t, "full") == 0}
		has := map[string]bool{}
		for range rapid.IntRange(0, 4).Draw(t, "entries") {
			cell := rapid.IntRange(0, 1).Draw(t, "cell")
			e := listing.Entry{ID: fmt.Sprint("t", rapid.IntRange(0, 3).Draw(t, "id")), Addr: fmt.Sprint("10.0.0.1:", rapid.IntRange(1, 3).Draw(t, "port")), Zone: "z",
				Shard: &cell, State: rapid.SampledFrom([]string{serving, serving, draining, deleted}).Draw(t, "state"), StartedMs: int64(rapid.IntRange(0, 3).Draw(t, "started"))}
			if l.Full && has[e.ID] {
				continue // a whole list says one thing of a target
			}
			has[e.ID] = true
			l.Targets = append(l.Targets, e)
		}
		all = append(all, said{Source(rapid.IntRange(0, 1).Draw(t, "from")), l})
	}
	return all
}

// shown is a list as those who hear of its changes have it.
type shown map[string]listing.Entry

func (s shown) apply(l *listing.List) {
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

// standing is where a target stands, wherever it is.
type standing struct {
	started int64
	state   string
}

func (s shown) standings() map[string]standing {
	all := map[string]standing{}
	for id, e := range s {
		all[id] = standing{e.StartedMs, e.State}
	}
	return all
}

// simple is the joined list by its definition, from the whole history: a target's start is the greatest that was told; its state at it the
// greatest that was told; it is out of the list where a source that told of that start names it no more.
func simple(all []said) map[string]standing { //nolint:gocognit // one scenario, told in order
	type heard struct {
		starts map[int64]int // the greatest rank
		names  bool
	}
	out := map[string]standing{}
	for i := range 4 {
		id := fmt.Sprint("t", i)
		var by [sources]*heard
		for _, s := range all {
			h, mentioned := by[s.from], false
			for _, e := range s.list.Targets {
				if e.ID != id {
					continue
				}
				mentioned = true
				if h == nil {
					if e.State == deleted && e.StartedMs == 0 {
						continue
					}
					h = &heard{starts: map[int64]int{}}
					by[s.from] = h
				}
				h.names = e.State != deleted
				if e.State != deleted || e.StartedMs > 0 {
					h.starts[e.StartedMs] = max(h.starts[e.StartedMs], stateRank(e.State))
				}
			}
			if s.list.Full && !mentioned && h != nil {
				h.names = false
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
			r, told := h.starts[start]
			if !told {
				continue
			}
			known = true
			if !h.names {
				r = stateRank(deleted)
			}
			state = []string{serving, draining, deleted}[max(stateRank(state), r)]
		}
		if known && state != deleted {
			out[id] = standing{start, state}
		}
	}
	return out
}

// TestReference holds the view, and the changes that it tells, against the definition after each list.
func TestReference(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		all := lists(t)
		v, s := New(DefaultMaxRemoved), shown{}
		for i, x := range all {
			l := v.Merge(x.from, x.list)
			if l != nil && (l.Full || len(l.Targets) == 0) {
				t.Fatalf("list %d: answered by %+v, wanted changes", i, l)
			}
			s.apply(l)
			whole := shown{}
			whole.apply(v.Full())
			if !maps.EqualFunc(whole, s, sameEntry) {
				t.Fatalf("after list %d: %v in whole, the changes come to %v", i, whole, s)
			}
			if want := simple(all[:i+1]); !maps.Equal(want, s.standings()) {
				t.Fatalf("after list %d: %v, wanted %v", i, s.standings(), want)
			}
			if v.Len() != len(s) {
				t.Fatalf("after list %d: %d targets, the changes come to %d", i, v.Len(), len(s))
			}
		}
	})
}

// TestOrder hears the two sources in another order, each in its own: all targets stand where they did.
func TestOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		all := lists(t)
		var one [sources][]said
		for _, x := range all {
			one[x.from] = append(one[x.from], x)
		}
		var other []said
		for len(one[0])+len(one[1]) > 0 {
			from := rapid.IntRange(0, 1).Draw(t, "next")
			if len(one[from]) == 0 {
				from = 1 - from
			}
			other, one[from] = append(other, one[from][0]), one[from][1:]
		}
		play := func(all []said) map[string]standing {
			v, s := New(DefaultMaxRemoved), shown{}
			for _, x := range all {
				s.apply(v.Merge(x.from, x.list))
			}
			return s.standings()
		}
		if a, b := play(all), play(other); !maps.Equal(a, b) {
			t.Fatalf("%v in one order, %v in the other", a, b)
		}
	})
}

// TestMonotone checks that no change of the joined list brings back what was: an older start, a target that drains, for the same start; and
// that a list that is heard again changes nothing, wherever its source still stands by it.
func TestMonotone(t *testing.T) { //nolint:gocognit // one scenario, told in order
	rapid.Check(t, func(t *rapid.T) {
		v, s := New(DefaultMaxRemoved), shown{}
		started, drained := map[string]int64{}, map[string]int64{}
		for _, x := range lists(t) {
			l := v.Merge(x.from, x.list)
			s.apply(l)
			// What either source has told to drain, by the lists themselves.
			for _, e := range x.list.Targets {
				if e.State == draining {
					drained[e.ID] = max(drained[e.ID], e.StartedMs+1)
				}
			}
			for id, e := range s {
				if e.StartedMs < started[id] {
					t.Fatalf("%s went back from start %d to %d", id, started[id], e.StartedMs)
				}
				started[id] = e.StartedMs
				if e.State == serving && e.StartedMs < drained[id] {
					t.Fatalf("%s serves at start %d, and was told to drain at %d", id, e.StartedMs, drained[id]-1)
				}
			}
			if again := v.Merge(x.from, x.list); again != nil {
				names := map[string]int{}
				for _, e := range x.list.Targets {
					names[e.ID]++
				}
				for _, e := range again.Targets {
					if names[e.ID] < 2 { // two words of one target in one change take each other back each time
						t.Fatalf("heard again it changed %+v", e)
					}
				}
				s.apply(again)
			}
		}
	})
}

func entry(state string, started int64, addr string) listing.Entry {
	cell := 0
	return listing.Entry{ID: "t", Addr: addr, Zone: "z", Shard: &cell, State: state, StartedMs: started}
}

// TestWords plays cases by hand.
func TestWords(t *testing.T) {
	change := func(e ...listing.Entry) *listing.List { return &listing.List{Targets: e} }
	whole := func(e ...listing.Entry) *listing.List { return &listing.List{Full: true, Targets: e} }
	for _, c := range []struct {
		name string
		all  []said
		want string
	}{
		{"either source alone", []said{{Feed, change(entry(serving, 5, "a:1"))}}, "SERVING 5 a:1"},
		{"a drain by the feed, discovery lags", []said{{Discovery, whole(entry(serving, 5, "a:1"))}, {Feed, change(entry(draining, 5, "a:1"))}, {Discovery, whole(entry(serving, 5, "a:1"))}}, "DRAINING 5 a:1"},
		{"a drain by discovery, the feed lags", []said{{Discovery, whole(entry(draining, 5, "a:1"))}, {Feed, change(entry(serving, 5, "a:1"))}}, "DRAINING 5 a:1"},
		{"a drain does not go back for its own source either", []said{{Feed, change(entry(draining, 5, "a:1"))}, {Feed, change(entry(serving, 5, "a:1"))}}, "DRAINING 5 a:1"},
		{"started anew", []said{{Discovery, whole(entry(draining, 5, "a:1"))}, {Feed, change(entry(serving, 6, "b:1"))}}, "SERVING 6 b:1"},
		{"an older start is not heard", []said{{Feed, change(entry(serving, 6, "b:1"))}, {Discovery, whole(entry(draining, 5, "a:1"))}}, "SERVING 6 b:1"},
		{"absent", []said{{Discovery, whole(entry(serving, 5, "a:1"))}, {Feed, change(entry(serving, 5, "a:1"))}, {Discovery, whole()}}, ""},
		{"absent at an older start", []said{{Discovery, whole(entry(serving, 5, "a:1"))}, {Feed, change(entry(serving, 6, "a:1"))}, {Discovery, whole()}}, "SERVING 6 a:1"},
		{"an empty list by mistake", []said{{Discovery, whole(entry(serving, 5, "a:1"))}, {Discovery, whole()}, {Discovery, whole(entry(serving, 5, "a:1"))}}, "SERVING 5 a:1"},
		{"a drain is remembered over an absence", []said{{Discovery, whole(entry(draining, 5, "a:1"))}, {Discovery, whole()}, {Discovery, whole(entry(serving, 5, "a:1"))}}, "DRAINING 5 a:1"},
		{"gone in the feed", []said{{Discovery, whole(entry(serving, 5, "a:1"))}, {Feed, change(entry(serving, 5, "a:1"))}, {Feed, change(listing.Entry{ID: "t", State: deleted})}}, ""},
		{"deleted at that start, and told again by the one that lags", []said{{Feed, change(entry(deleted, 5, "a:1"))}, {Discovery, whole(entry(serving, 5, "a:1"))}}, ""},
		{"deleted at an older start", []said{{Feed, change(entry(deleted, 4, "a:1"))}, {Discovery, whole(entry(serving, 5, "a:1"))}}, "SERVING 5 a:1"},
		{"deleted and never named", []said{{Feed, change(listing.Entry{ID: "t", State: deleted})}, {Feed, change(entry(serving, 0, "a:1"))}}, "SERVING 0 a:1"},
		{"moved: the last word", []said{{Discovery, whole(entry(serving, 5, "a:1"))}, {Feed, change(entry(serving, 5, "b:1"))}}, "SERVING 5 b:1"},
		{"moved: a list that says what it said is no new word", []said{{Discovery, whole(entry(serving, 5, "a:1"))}, {Feed, change(entry(serving, 5, "b:1"))}, {Discovery, whole(entry(serving, 5, "a:1"))}}, "SERVING 5 b:1"},
		{"moved while it drains", []said{{Discovery, whole(entry(draining, 5, "a:1"))}, {Discovery, whole(entry(serving, 5, "b:1"))}}, "DRAINING 5 b:1"},
	} {
		t.Run(c.name, func(t *testing.T) {
			v, s := New(DefaultMaxRemoved), shown{}
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

// TestBounded has many targets come and go: what is remembered of those gone stays bounded, the longest gone are forgotten first, and one
// that is named again is not forgotten.
func TestBounded(t *testing.T) {
	v := New(8)
	at := func(id, state string, started int64) *listing.List {
		e := entry(state, started, "a:1")
		e.ID = id
		return &listing.List{Targets: listing.Entries{e}}
	}
	for i := range 100 {
		id := fmt.Sprint("t", i)
		v.Merge(Discovery, at(id, draining, 1))
		v.Merge(Feed, at(id, serving, 1))
		v.Merge(Discovery, at(id, deleted, 0))
		require.LessOrEqual(t, len(v.targets), 9, "the feed still names one")
		v.Merge(Feed, at(id, deleted, 0))
		require.LessOrEqual(t, len(v.targets), 8)
	}
	v.Merge(Feed, at("t95", serving, 1))
	for i := 100; i < 120; i++ {
		id := fmt.Sprint("t", i)
		v.Merge(Feed, at(id, serving, 1))
		v.Merge(Feed, at(id, deleted, 1))
	}
	require.Len(t, v.targets, 9)
	require.Contains(t, v.targets, "t95")
	require.Nil(t, v.targets["t95"].published, "discovery dropped it at that start")
	require.Contains(t, v.targets, "t119")
	require.NotContains(t, v.targets, "t111")
}
