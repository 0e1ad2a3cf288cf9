package watchstream

import (
	"cmp"
	"slices"
	"time"
)

// versionTimes records when a growing version was reached.
type versionTimes struct {
	list []versionTime
	max  int
}

// versionTime is one of these moments.
type versionTime struct {
	version uint64
	at      time.Duration
}

// add records a version, if it is greater than the last one.
func (s *versionTimes) add(version uint64, at time.Duration) {
	if n := len(s.list); n == 0 || s.list[n-1].version < version {
		s.list = append(s.list, versionTime{version, at})
	}
	if len(s.list) >= 2*s.max {
		s.list = slices.Clone(s.list[s.max:])
	}
}

// reachedAt returns when the version was reached: the first entry at or after it, except the very
// first, since it is unknown what happened before.
func (s *versionTimes) reachedAt(version uint64) (at time.Duration, known bool) {
	i, _ := slices.BinarySearchFunc(s.list, version, func(x versionTime, v uint64) int { return cmp.Compare(x.version, v) })
	if i == len(s.list) || i == 0 {
		return 0, false
	}
	return s.list[i].at, true
}
