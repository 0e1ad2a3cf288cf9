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
func (t *versionTimes) add(version uint64, at time.Duration) {
	if n := len(t.list); n == 0 || t.list[n-1].version < version {
		t.list = append(t.list, versionTime{version, at})
	}
	if len(t.list) >= 2*t.max {
		t.list = slices.Clone(t.list[t.max:])
	}
}

// reachedAt returns when the version was reached: the first entry at or after it, except the very
// first, since it is unknown what happened before.
func (t *versionTimes) reachedAt(version uint64) (at time.Duration, known bool) {
	i, _ := slices.BinarySearchFunc(t.list, version, func(x versionTime, v uint64) int { return cmp.Compare(x.version, v) })
	if i == len(t.list) || i == 0 {
		return 0, false
	}
	return t.list[i].at, true
}
