// Package targetlist decodes the list of targets that discovery sends, either full or as a change.
package targetlist

import (
	"bytes"
	"fmt"
	"net"
	"slices"
	"time"

	jsoniter "github.com/json-iterator/go"

	"spindlehitch/internal/policy"
)

// Entry is one target of a list.
type Entry struct {
	ID        string `json:"id"`
	Addr      string `json:"addr"`
	Zone      string `json:"zone"`
	Shard     *int   `json:"cell"`
	State     string `json:"state"`
	StartedMs int64  `json:"started_ms"`
}

// List is the full list, or with Full false a change of the list that came before.
type List struct {
	Version *int64  `json:"version"`
	Full    bool    `json:"full"`
	Targets Entries `json:"servers"`
	Origin  string  `json:"-"` // address of the service that sent it; empty: not known
}

// Entries are the targets of one list. Their decoder bounds how many are kept.
type Entries []Entry

// typicalEntrySize is about the smallest encoding, in bytes, of an entry with all its fields.
const typicalEntrySize = 64

// maxEntries bounds the memory of a decoded list: entries of three bytes take thirty times as much once they are decoded. It is
// the number of typical entries in 4 MiB, the most that is read from discovery, so that no list of typical entries is rejected
// for their number. That is 5 MiB of entries, and some 40 MB in the policy module, which keeps 0.6 kB for each unused target.
const maxEntries = 4 << 20 / typicalEntrySize

// ErrTooManyEntries marks a list with more entries than are accepted.
var ErrTooManyEntries = fmt.Errorf("list: over %d entries", maxEntries)

var jsonAPI = jsoniter.ConfigCompatibleWithStandardLibrary

// UnmarshalJSON implements json.Unmarshaler.
func (s *Entries) UnmarshalJSON(b []byte) error {
	*s = slices.Grow(Entries(nil), min(bytes.Count(b, []byte("{")), maxEntries)) // one allocation, of bounded size
	iter := jsoniter.ParseBytes(jsonAPI, b)
	for iter.ReadArray() {
		if len(*s) > maxEntries {
			return nil // Check then returns ErrTooManyEntries
		}
		var e Entry
		if iter.ReadVal(&e); iter.Error != nil {
			break
		}
		*s = append(*s, e)
	}
	return iter.Error
}

// Decode decodes and checks a list. A list with any invalid entry is rejected as a whole, and so is a full list with two
// different entries for one target. In a change the later entry counts.
func Decode(b []byte) (*List, error) {
	var l List
	if err := jsonAPI.Unmarshal(b, &l); err != nil {
		return nil, fmt.Errorf("list: %w", err)
	}
	if err := l.Check(); err != nil || !l.Full {
		return &l, err
	}
	indexByID := make(map[string]int, len(l.Targets))
	for i, e := range l.Targets {
		previous, seen := indexByID[e.ID]
		if seen && (e.Endpoint() != l.Targets[previous].Endpoint() || e.Addr != l.Targets[previous].Addr) {
			return &l, fmt.Errorf("list: servers[%d].id: servers[%d] says otherwise", i, previous)
		}
		indexByID[e.ID] = i
	}
	return &l, nil
}

// Check returns an error that names the first missing or invalid field.
func (l *List) Check() error {
	if l.Version == nil {
		return fmt.Errorf("list: version is missing")
	}
	if len(l.Targets) > maxEntries {
		return ErrTooManyEntries
	}
	for i, e := range l.Targets {
		_, known := stateByName[e.State]
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

var stateByName = map[string]policy.EndpointState{
	"SERVING": policy.Up, "DRAINING": policy.Draining, "DELETED": policy.Removed,
}

// Endpoint converts the entry to the policy module's type.
func (e Entry) Endpoint() policy.Endpoint {
	n := policy.Endpoint{ID: e.ID, Zone: e.Zone, State: stateByName[e.State],
		Started: time.Duration(e.StartedMs) * time.Millisecond}
	if e.Shard != nil {
		n.Shard = *e.Shard
	}
	return n
}
