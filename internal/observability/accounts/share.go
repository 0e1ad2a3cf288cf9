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

// ShareKind is the kind of what a share is counted for.
type ShareKind string

// The kinds of shares: of a class, a plan, a volume.
const (
	Class  ShareKind = "class"
	Plan   ShareKind = "plan"
	Volume ShareKind = "volume"
)

// ShareKey identifies a share.
type ShareKey struct {
	Kind ShareKind `json:"kind"`
	Name string    `json:"name"`
}

// Share counts the requests that arrived, and those of them that were served before their client left, by number and by worth.
type Share struct {
	Asked       uint64  `json:"asked"`
	Served      uint64  `json:"served"`
	Worth       float64 `json:"worth"`
	WorthServed float64 `json:"worth_served"`
}

// add counts a request that has ended.
func (s *Share) add(e *openRequest) {
	s.Asked++
	s.Worth += e.worth
	if e.served {
		s.Served++
		s.WorthServed += e.worth
	}
}

// Plus returns the sum of two shares.
func (s Share) Plus(t Share) Share {
	return Share{s.Asked + t.Asked, s.Served + t.Served, s.Worth + t.Worth, s.WorthServed + t.WorthServed}
}

// ServedFraction returns the fraction of the worth that was served, from 0 to 1, or 1 if there were no requests.
func (s Share) ServedFraction() float64 {
	if s.Worth == 0 {
		return 1
	}
	return s.WorthServed / s.Worth
}

// NamedShare is a share with its key.
type NamedShare struct {
	ShareKey
	Share
}

// shareSums are shares by key.
type shareSums map[ShareKey]*Share

// get returns the share of a key, which it creates if there is none.
func (s shareSums) get(o ShareKey) *Share {
	if s[o] == nil {
		s[o] = &Share{}
	}
	return s[o]
}

// add adds each share to the sum of its key.
func (s shareSums) add(list []NamedShare) {
	for _, x := range list {
		t := s.get(x.ShareKey)
		*t = t.Plus(x.Share)
	}
}

// sortedShares returns the shares ordered by kind and name.
func sortedShares(sums shareSums) (all []NamedShare) {
	for _, key := range slices.SortedFunc(maps.Keys(sums), func(a, b ShareKey) int {
		return cmp.Or(cmp.Compare(a.Kind, b.Kind), cmp.Compare(a.Name, b.Name))
	}) {
		all = append(all, NamedShare{key, *sums[key]})
	}
	return all
}

// Shares returns the shares of classes, plans and volumes with at least minFraction of the worth of all requests, those with the
// lowest served fraction first, and the share of all requests.
func (s *Snapshot) Shares(minFraction float64) (list []NamedShare, total Share) {
	for _, x := range s.Served {
		if x.Kind == Class {
			total = total.Plus(x.Share)
		}
	}
	list = slices.Clone(s.Served)
	for _, v := range s.Volumes {
		list = append(list, NamedShare{ShareKey{Volume, v.Volume}, v.Share})
	}
	list = slices.DeleteFunc(list, func(x NamedShare) bool { return x.Worth < minFraction*total.Worth })
	slices.SortStableFunc(list, func(a, b NamedShare) int {
		return cmp.Or(cmp.Compare(a.ServedFraction(), b.ServedFraction()), cmp.Compare(a.Kind, b.Kind), cmp.Compare(a.Name, b.Name))
	})
	return list, total
}

// WriteShares writes shares as a table, in the given order, with a last line for all requests.
func WriteShares(w io.Writer, list []NamedShare, total Share) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprint(t, "of\tname\trequests\tserved\tof all worth\tserved by worth\n")
	row := func(kind, name string, s Share) {
		fmt.Fprintf(t, "%s\t%s\t%d\t%d\t%.3f\t%.3f\n", kind, name, s.Asked, s.Served, s.Worth/max(total.Worth, 1e-9), s.ServedFraction())
	}
	for _, x := range list {
		row(string(x.Kind), x.Name, x.Share)
	}
	row("all", "", total)
	return t.Flush()
}

// SharesLogMessage is the message of a log line with LoggedShares.
const SharesLogMessage = "served shares"

// LoggedShares are shares that a log line encodes as JSON, so that ReadShares can parse them from any log.
type LoggedShares []NamedShare

// MarshalText implements encoding.TextMarshaler.
func (l LoggedShares) MarshalText() ([]byte, error) { return json.Marshal([]NamedShare(l)) }

// logLinePattern matches a log line of shares; its group is their quoted JSON.
var logLinePattern = regexp.MustCompile(`msg="` + SharesLogMessage + `".* shares="((?:[^"\\]|\\.)*)"`)

// ReadShares sums up the shares in the lines of a log of one or more instances. It ignores all other lines.
func ReadShares(r io.Reader) (Snapshot, error) {
	lines := bufio.NewScanner(r)
	lines.Buffer(nil, 16<<20)
	sums := shareSums{}
	for lines.Scan() {
		m := logLinePattern.FindSubmatch(lines.Bytes())
		if m == nil {
			continue
		}
		var list []NamedShare
		text, err := strconv.Unquote(`"` + string(m[1]) + `"`)
		if err == nil {
			err = json.Unmarshal([]byte(text), &list)
		}
		if err != nil {
			return Snapshot{}, fmt.Errorf("log line with invalid shares: %w", err)
		}
		sums.add(list)
	}
	return Snapshot{Served: sortedShares(sums)}, lines.Err()
}

// MergeShares returns a snapshot with the shares of several snapshots, volumes included, summed up by key.
func MergeShares(all ...Snapshot) (s Snapshot) {
	sums := shareSums{}
	for _, x := range all {
		list, _ := x.Shares(0)
		sums.add(list)
	}
	return Snapshot{Served: sortedShares(sums)}
}
