package watchstream

import (
	"cmp"
	"slices"
	"time"
)

// versionTimes are moments at which a version that only grows was reached.
type versionTimes struct {
	list []versionTime
	max  int
}

type versionTime struct {
	version uint64
	at      time.Duration
}

func (s *versionTimes) add(version uint64, at time.Duration) {
	if n := len(s.list); n == 0 || s.list[n-1].version < version {
		s.list = append(s.list, versionTime{version, at})
	}
	if len(s.list) >= 2*s.max {
		s.list = slices.Clone(s.list[s.max:])
	}
}

// reachedAt is when the version was reached, if that is known: the first step at or after it, but not the first of all, since what was before
// it isn't known.
func (s *versionTimes) reachedAt(version uint64) (at time.Duration, known bool) {
	i, _ := slices.BinarySearchFunc(s.list, version, func(x versionTime, v uint64) int { return cmp.Compare(x.version, v) })
	if i == len(s.list) || i == 0 {
		return 0, false
	}
	return s.list[i].at, true
}
