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
type past struct {
	states []map[key]watchstream.Record // by version; 0: nothing
	words  map[string]uint64            // the versions at which it was said of another history that this one takes its place
}

func newPast() *past {
	return &past{states: []map[key]watchstream.Record{{}}, words: map[string]uint64{}}
}

func (p *past) head() uint64 { return uint64(len(p.states)) - 1 }

func (p *past) add(c watchstream.Change) {
	next := map[key]watchstream.Record{}
	for k, r := range p.states[p.head()] {
		next[k] = r
	}
	for _, x := range c.Puts {
		next[key{x.Kind, x.Key}] = watchstream.Record{Kind: x.Kind, Key: x.Key, Version: p.head() + 1, Deleted: x.Deleted, Value: x.Value}
	}
	p.states = append(p.states, next)
	if c.Replaces != "" {
		p.words[c.Replaces] = p.head()
	}
}

// held is live records by key.
type held map[key]watchstream.Record

func holds(records ...[]watchstream.Record) held {
	h := held{}
	for _, list := range records {
		for _, r := range list {
			h[key{r.Kind, r.Key}] = r
		}
	}
	return h
}

// at tells whether what is held of a key is what the history had at that version. Each change's values are its own; what was taken over from
// an earlier history has that one's versions.
func (p *past) at(h held, k key, v uint64) bool {
	is, alive := h[k]
	was, known := p.states[v][k]
	known = known && !was.Deleted
	return alive == known && (!alive || bytes.Equal(is.Value, was.Value))
}

// since tells whether what is held of each key is what the history had at that version or at a later one; of configuration, of all keys
// at one and the same, but for a relay's, which nobody has in force, and where it is said that what there is is of an earlier history.
func (p *past) since(h held, scope watchstream.Scope, pos watchstream.Position, earlier bool) error {
	if pos.Targets > p.head() || pos.Config > p.head() {
		return fmt.Errorf("broken: %s is said to have %v, and the log is at %d", scope.Name, pos, p.head())
	}
	keys := map[key]bool{}
	for k := range p.states[p.head()] {
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
		for v := from; v <= p.head() && !ok; v++ {
			ok = p.at(h, k, v)
		}
		if !ok {
			return fmt.Errorf("broken: %s has %v %q as the log never had it since version %d", scope.Name, k.kind, k.key, from)
		}
	}
	for v := pos.Config; v <= p.head(); v++ {
		if scope.All || earlier || p.config(h, scope, v) {
			return nil
		}
	}
	return fmt.Errorf("broken: %s has a configuration that the log never had since version %d", scope.Name, pos.Config)
}

// config tells whether the layers of the scope are as the history had them at that version.
func (p *past) config(h held, scope watchstream.Scope, v uint64) bool {
	for k := range p.states[p.head()] {
		if k.kind == watchstream.Config && scope.Includes(k.kind, k.key) && !p.at(h, k, v) {
			return false
		}
	}
	for k := range h {
		if k.kind == watchstream.Config && !p.at(h, k, v) {
			return false
		}
	}
	return true
}

// exact tells whether what is held is the log's state of that version.
func (p *past) exact(h held, scope watchstream.Scope, kind watchstream.Kind, v uint64) error {
	for k := range p.states[p.head()] {
		if k.kind == kind && scope.Includes(k.kind, k.key) && !p.at(h, k, v) {
			return fmt.Errorf("broken: %s is at version %d and doesn't have the log's state of %q", scope.Name, v, k.key)
		}
	}
	for k := range h {
		if k.kind == kind && !p.at(h, k, v) {
			return fmt.Errorf("broken: %s is at version %d and has %q, which the log doesn't", scope.Name, v, k.key)
		}
	}
	return nil
}
