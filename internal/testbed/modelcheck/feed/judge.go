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

// past is what the judge knows of one history: the state of all keys at each version, by itself.
type history struct {
	states     []map[key]watchstream.Record // by version; 0: nothing
	replacedAt map[string]uint64            // the versions at which it was said of another history that this one takes its place
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

// held is live records by key.
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

// at tells whether what is held of a key is what the history had at that version. Each change's values are its own; what was taken over from
// an earlier history has that one's versions.
func (hist *history) matches(h recordSet, k key, v uint64) bool {
	got, alive := h[k]
	want, known := hist.states[v][k]
	known = known && !want.Deleted
	return alive == known && (!alive || bytes.Equal(got.Value, want.Value))
}

// since tells whether what is held of each key is what the history had at that version or at a later one; of configuration, of all keys
// at one and the same, but for a relay's, which nobody has in force, and where it is said that what there is is of an earlier history.
func (hist *history) checkSince(h recordSet, scope watchstream.Scope, pos watchstream.Position, earlier bool) error {
	if pos.Targets > hist.head() || pos.Config > hist.head() {
		return fmt.Errorf("broken: %s is said to have %v, and the log is at %d", scope.Name, pos, hist.head())
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
			return fmt.Errorf("broken: %s has %v %q as the log never had it since version %d", scope.Name, k.kind, k.key, from)
		}
	}
	for v := pos.Config; v <= hist.head(); v++ {
		if scope.All || earlier || hist.configMatches(h, scope, v) {
			return nil
		}
	}
	return fmt.Errorf("broken: %s has a configuration that the log never had since version %d", scope.Name, pos.Config)
}

// config tells whether the layers of the scope are as the history had them at that version.
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

// exact tells whether what is held is the log's state of that version.
func (hist *history) checkExact(h recordSet, scope watchstream.Scope, kind watchstream.Kind, v uint64) error {
	for k := range hist.states[hist.head()] {
		if k.kind == kind && scope.Includes(k.kind, k.key) && !hist.matches(h, k, v) {
			return fmt.Errorf("broken: %s is at version %d and doesn't have the log's state of %q", scope.Name, v, k.key)
		}
	}
	for k := range h {
		if k.kind == kind && !hist.matches(h, k, v) {
			return fmt.Errorf("broken: %s is at version %d and has %q, which the log doesn't", scope.Name, v, k.key)
		}
	}
	return nil
}
