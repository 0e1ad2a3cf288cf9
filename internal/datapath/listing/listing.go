// Package listing reads the list of targets as discovery writes it, whole or as a change.
package listing

import (
	"bytes"
	"fmt"
	"net"
	"slices"
	"time"

	jsoniter "github.com/json-iterator/go"

	"spindlehitch/internal/policy"
)

// Entry is a target as the list tells it.
type Entry struct {
	ID        string `json:"id"`
	Addr      string `json:"addr"`
	Zone      string `json:"zone"`
	Shard     *int   `json:"cell"`
	State     string `json:"state"`
	StartedMs int64  `json:"started_ms"`
}

// List is the whole list or a change of it.
type List struct {
	Version *int64  `json:"version"`
	Full    bool    `json:"full"`
	Targets Entries `json:"servers"`
}

// Entries are those of one list.
type Entries []Entry

// usualEntry is about the fewest bytes of an entry that says all.
const usualEntry = 64

// mostEntries bounds what a list costs, whatever its entries say: those of three bytes take thirty times as much memory once they
// are read. It is what 4 MiB hold of usual entries, the most that is read from discovery, so that no such list is turned away
// for its number: 5 MiB of entries, and some 40 MB in the module, which keeps 0.6 kB for each target that nothing is sent to.
const mostEntries = 4 << 20 / usualEntry

// ErrHuge says that a list has more entries than are read.
var ErrTooManyEntries = fmt.Errorf("list: over %d entries", mostEntries)

var format = jsoniter.ConfigCompatibleWithStandardLibrary

// UnmarshalJSON implements json.Unmarshaler.
func (s *Entries) UnmarshalJSON(b []byte) error {
	*s = slices.Grow(Entries(nil), min(bytes.Count(b, []byte("{")), mostEntries)) // at once, and no more than it takes
	iter := jsoniter.ParseBytes(format, b)
	for iter.ReadArray() {
		if len(*s) > mostEntries {
			return nil // Check says so, with an error of its own
		}
		var e Entry
		if iter.ReadVal(&e); iter.Error != nil {
			break
		}
		*s = append(*s, e)
	}
	return iter.Error
}

// Decode reads a list and checks it: a list that is not understood whole is not used at all, nor a whole one that says two
// things of one target. In a change the later entry counts.
func Decode(b []byte) (*List, error) {
	var l List
	if err := format.Unmarshal(b, &l); err != nil {
		return nil, fmt.Errorf("list: %w", err)
	}
	if err := l.Check(); err != nil || !l.Full {
		return &l, err
	}
	said := make(map[string]int, len(l.Targets))
	for i, e := range l.Targets {
		first, again := said[e.ID]
		if again && (e.Endpoint() != l.Targets[first].Endpoint() || e.Addr != l.Targets[first].Addr) {
			return &l, fmt.Errorf("list: servers[%d].id: servers[%d] says otherwise", i, first)
		}
		said[e.ID] = i
	}
	return &l, nil
}

// Check names the first field that cannot be used.
func (l *List) Check() error {
	if l.Version == nil {
		return fmt.Errorf("list: version is missing")
	}
	if len(l.Targets) > mostEntries {
		return ErrTooManyEntries
	}
	for i, e := range l.Targets {
		_, known := states[e.State]
		switch {
		case e.ID == "":
			return fmt.Errorf("list: servers[%d].id is missing", i)
		case !known:
			return fmt.Errorf("list: servers[%d].state: unknown state %q", i, e.State)
		case e.State == "DELETED":
		case e.Shard == nil:
			return fmt.Errorf("list: servers[%d].cell is missing", i)
		}
		if _, _, err := net.SplitHostPort(e.Addr); err != nil && e.State != "DELETED" {
			return fmt.Errorf("list: servers[%d].addr: %w", i, err)
		}
	}
	return nil
}

var states = map[string]policy.EndpointState{
	"SERVING": policy.Up, "DRAINING": policy.Draining, "DELETED": policy.Removed,
}

// Node is the entry as the module knows it.
func (e Entry) Endpoint() policy.Endpoint {
	n := policy.Endpoint{ID: e.ID, Zone: e.Zone, State: states[e.State],
		Started: time.Duration(e.StartedMs) * time.Millisecond}
	if e.Shard != nil {
		n.Shard = *e.Shard
	}
	return n
}
