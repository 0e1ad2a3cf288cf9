package feed

import (
	"bytes"
	"fmt"

	"spindlehitch/internal/controlplane/watchstream"
)

type key struct {
	kind watchstream.Kind
	key  string
}

// history is the reference for one epoch of the log, recorded independently of the code under test: the state of all keys
// at each version.
type history struct {
	states     []map[key]watchstream.Record // by version; at version 0 there are no keys
	replacedAt map[string]uint64            // by the epoch of another history: the version at which it was declared that this one replaces it
}

func newHistory() *history {
	return &history{states: []map[key]watchstream.Record{{}}, replacedAt: map[string]uint64{}}
}

func (hist *history) head() uint64 { return uint64(len(hist.states)) - 1 }

func (hist *history) add(c watchstream.Change) {
	next := map[key]watchstream.Record{}
	for k, r := range hist.states[hist.head()] {
		next[k] = r
	}
	for _, x := range c.Puts {
		next[key{x.Kind, x.Key}] = watchstream.Record{Kind: x.Kind, Key: x.Key, Version: hist.head() + 1, Deleted: x.Deleted, Value: x.Value}
	}
	hist.states = append(hist.states, next)
	if c.Replaces != "" {
		hist.replacedAt[c.Replaces] = hist.head()
	}
}

// recordSet is live records by key.
type recordSet map[key]watchstream.Record

func recordsByKey(records ...[]watchstream.Record) recordSet {
	h := recordSet{}
	for _, list := range records {
		for _, r := range list {
			h[key{r.Kind, r.Key}] = r
		}
	}
	return h
}

// matches reports whether h has the same value of a key as the history at that version. Values are compared rather than
// versions: each change writes unique values, and records taken over from an earlier history keep that one's versions.
func (hist *history) matches(h recordSet, k key, v uint64) bool {
	got, alive := h[k]
	want, known := hist.states[v][k]
	known = known && !want.Deleted
	return alive == known && (!alive || bytes.Equal(got.Value, want.Value))
}

// checkSince checks that h has each key as the history had it at the position or at a later version. All configuration keys
// must match at one common version, except at a relay, which has no configuration in force, and where earlier says that
// the configuration in force is of an earlier history.
func (hist *history) checkSince(h recordSet, scope watchstream.Scope, pos watchstream.Position, earlier bool) error {
	if pos.Targets > hist.head() || pos.Config > hist.head() {
		return fmt.Errorf("broken: %s claims position %v, but the log is at %d", scope.Name, pos, hist.head())
	}
	keys := map[key]bool{}
	for k := range hist.states[hist.head()] {
		keys[k] = true
	}
	for k := range h {
		keys[k] = true
	}
	for k := range keys {
		from, ok := pos.Targets, k.kind == watchstream.Config && !scope.All || !scope.Includes(k.kind, k.key)
		if k.kind == watchstream.Config {
			from = pos.Config
		}
		for v := from; v <= hist.head() && !ok; v++ {
			ok = hist.matches(h, k, v)
		}
		if !ok {
			return fmt.Errorf("broken: %s has a value of %v %q that the log did not have at version %d or later", scope.Name, k.kind, k.key, from)
		}
	}
	for v := pos.Config; v <= hist.head(); v++ {
		if scope.All || earlier || hist.configMatches(h, scope, v) {
			return nil
		}
	}
	return fmt.Errorf("broken: %s has a configuration that the log did not have at version %d or later", scope.Name, pos.Config)
}

// configMatches reports whether h has the configuration layers of the scope as the history had them at that version.
func (hist *history) configMatches(h recordSet, scope watchstream.Scope, v uint64) bool {
	for k := range hist.states[hist.head()] {
		if k.kind == watchstream.Config && scope.Includes(k.kind, k.key) && !hist.matches(h, k, v) {
			return false
		}
	}
	for k := range h {
		if k.kind == watchstream.Config && !hist.matches(h, k, v) {
			return false
		}
	}
	return true
}

// checkExact checks that h has exactly the history's records of that kind in the scope at that version.
func (hist *history) checkExact(h recordSet, scope watchstream.Scope, kind watchstream.Kind, v uint64) error {
	for k := range hist.states[hist.head()] {
		if k.kind == kind && scope.Includes(k.kind, k.key) && !hist.matches(h, k, v) {
			return fmt.Errorf("broken: %s is at version %d and has %q in another state than the log", scope.Name, v, k.key)
		}
	}
	for k := range h {
		if k.kind == kind && !hist.matches(h, k, v) {
			return fmt.Errorf("broken: %s is at version %d and has %q, which the log does not have", scope.Name, v, k.key)
		}
	}
	return nil
}
