package watchstream

import (
	"cmp"
	"slices"
	"time"
)

// versionTimes records when an increasing version was reached. It keeps at least the last max entries
// and fewer than twice as many.
type versionTimes struct {
	list []versionTime
	max  int
}

// versionTime is the time at which a version was reached.
type versionTime struct {
	version uint64
	at      time.Duration
}

// add records a version if it is greater than the last one.
func (t *versionTimes) add(version uint64, at time.Duration) {
	if n := len(t.list); n == 0 || t.list[n-1].version < version {
		t.list = append(t.list, versionTime{version, at})
	}
	if len(t.list) >= 2*t.max {
		t.list = slices.Clone(t.list[t.max:])
	}
}

// reachedAt returns when the version was reached: the time of the first entry at or after it. It is
// unknown if that is the oldest entry, since the version may have been reached before.
func (t *versionTimes) reachedAt(version uint64) (at time.Duration, known bool) {
	i, _ := slices.BinarySearchFunc(t.list, version, func(x versionTime, v uint64) int { return cmp.Compare(x.version, v) })
	if i == len(t.list) || i == 0 {
		return 0, false
	}
	return t.list[i].at, true
}
