package accounts

import (
	"bufio"
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"regexp"
	"slices"
	"strconv"
	"text/tabwriter"
)

// Kind is what a share is told of.
type ShareKind string

// The kinds of shares: of a class, a plan, a volume.
const (
	Class  ShareKind = "class"
	Plan   ShareKind = "plan"
	Volume ShareKind = "volume"
)

// Of names a share.
type ShareKey struct {
	Kind ShareKind `json:"kind"`
	Name string    `json:"name"`
}

// Share is what was asked and what of it was served while its client waited, by number and by worth.
type Share struct {
	Asked       uint64  `json:"asked"`
	Served      uint64  `json:"served"`
	Worth       float64 `json:"worth"`
	WorthServed float64 `json:"worth_served"`
}

func (s *Share) add(e *entry) {
	s.Asked++
	s.Worth += e.worth
	if e.served {
		s.Served++
		s.WorthServed += e.worth
	}
}

// Plus is the sum of two.
func (s Share) Plus(t Share) Share {
	return Share{s.Asked + t.Asked, s.Served + t.Served, s.Worth + t.Worth, s.WorthServed + t.WorthServed}
}

// Part is the part of the worth that was served, from 0 to 1; 1 where nothing was asked.
func (s Share) ServedFraction() float64 {
	if s.Worth == 0 {
		return 1
	}
	return s.WorthServed / s.Worth
}

// ShareOf is a share by its name.
type NamedShare struct {
	ShareKey
	Share
}

// sums are shares by name.
type sums map[ShareKey]*Share

func (s sums) of(o ShareKey) *Share {
	if s[o] == nil {
		s[o] = &Share{}
	}
	return s[o]
}

func (s sums) add(list []NamedShare) {
	for _, x := range list {
		t := s.of(x.ShareKey)
		*t = t.Plus(x.Share)
	}
}

// shareList is the shares by name.
func shareList(m sums) (all []NamedShare) {
	for _, of := range slices.SortedFunc(maps.Keys(m), func(a, b ShareKey) int {
		return cmp.Or(cmp.Compare(a.Kind, b.Kind), cmp.Compare(a.Name, b.Name))
	}) {
		all = append(all, NamedShare{of, *m[of]})
	}
	return all
}

// Shares are those of classes, plans and volumes that have at least that part of all worth asked, least served first, and what all
// have together.
func (s *Snapshot) Shares(least float64) (list []NamedShare, all Share) {
	for _, x := range s.Served {
		if x.Kind == Class {
			all = all.Plus(x.Share)
		}
	}
	list = slices.Clone(s.Served)
	for _, v := range s.Volumes {
		list = append(list, NamedShare{ShareKey{Volume, v.Volume}, v.Share})
	}
	list = slices.DeleteFunc(list, func(x NamedShare) bool { return x.Worth < least*all.Worth })
	slices.SortStableFunc(list, func(a, b NamedShare) int {
		return cmp.Or(cmp.Compare(a.ServedFraction(), b.ServedFraction()), cmp.Compare(a.Kind, b.Kind), cmp.Compare(a.Name, b.Name))
	})
	return list, all
}

// WriteShares writes them for a person, the least served first.
func WriteShares(w io.Writer, list []NamedShare, all Share) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprint(t, "of\tname\trequests\tserved\tof all worth\tserved by worth\n")
	row := func(kind, name string, s Share) {
		fmt.Fprintf(t, "%s\t%s\t%d\t%d\t%.3f\t%.3f\n", kind, name, s.Asked, s.Served, s.Worth/max(all.Worth, 1e-9), s.ServedFraction())
	}
	for _, x := range list {
		row(string(x.Kind), x.Name, x.Share)
	}
	row("all", "", all)
	return t.Flush()
}

// SharesLine is the message of a log line with LoggedShares.
const SharesLogMessage = "served shares"

// LoggedShares is how shares stand in a log line: JSON, so that ReadShares finds them in any log.
type LoggedShares []NamedShare

// MarshalText implements encoding.TextMarshaler.
func (l LoggedShares) MarshalText() ([]byte, error) { return json.Marshal([]NamedShare(l)) }

var inLog = regexp.MustCompile(`msg="` + SharesLogMessage + `".* shares="((?:[^"\\]|\\.)*)"`)

// ReadShares sums up the shares in a log's lines, of any number of instances; all else in it is passed over.
func ReadShares(r io.Reader) (Snapshot, error) {
	lines := bufio.NewScanner(r)
	lines.Buffer(nil, 16<<20)
	found := sums{}
	for lines.Scan() {
		m := inLog.FindSubmatch(lines.Bytes())
		if m == nil {
			continue
		}
		var list []NamedShare
		text, err := strconv.Unquote(`"` + string(m[1]) + `"`)
		if err == nil {
			err = json.Unmarshal([]byte(text), &list)
		}
		if err != nil {
			return Snapshot{}, fmt.Errorf("a line of shares: %w", err)
		}
		found.add(list)
	}
	return Snapshot{Served: shareList(found)}, lines.Err()
}

// MergeShares sums up the shares alone of several snapshots, by name.
func MergeShares(all ...Snapshot) (s Snapshot) {
	found := sums{}
	for _, x := range all {
		list, _ := x.Shares(0)
		found.add(list)
	}
	return Snapshot{Served: shareList(found)}
}
