package targetlist

import (
	"slices"
	"strings"
	"sync"
)

// Latest is the newest list that a process has from discovery: a full list with all changes since. It is safe for concurrent use.
type Latest struct {
	mu      sync.Mutex // guards all fields
	version *int64     // nil: there is no list yet
	origin  string
	entries map[string]Entry
}

// NewLatest returns a Latest that begins with another's list; nil: without one.
func NewLatest(from *Latest) *Latest {
	l := &Latest{entries: map[string]Entry{}}
	if from != nil {
		if list := from.Full(); list != nil {
			l.Apply(list)
		}
	}
	return l
}

// Apply applies a full list or a change of the one before.
func (l *Latest) Apply(list *List) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if list.Full {
		clear(l.entries)
	}
	for _, e := range list.Targets {
		if e.State == "DELETED" {
			delete(l.entries, e.ID)
		} else {
			l.entries[e.ID] = e
		}
	}
	l.version, l.origin = list.Version, list.Origin
}

// Full returns the list, sorted by id; nil: there is none yet.
func (l *Latest) Full() *List {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.version == nil {
		return nil
	}
	list := &List{Version: l.version, Full: true, Origin: l.origin}
	for _, e := range l.entries {
		list.Targets = append(list.Targets, e)
	}
	slices.SortFunc(list.Targets, func(a, b Entry) int { return strings.Compare(a.ID, b.ID) })
	return list
}
