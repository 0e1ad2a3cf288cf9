package hollow

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"spindlehitch/internal/datapath/targetlist"
)

func entry(id string, turn int64, state string) []targetlist.Entry {
	return []targetlist.Entry{{ID: id, StartedMs: turn, State: state}}
}

// TestJournal holds the judge against what it has to find, and against what it has to let through.
func TestJournal(t *testing.T) {
	life, next := new(int), new(int)
	for _, c := range []struct {
		name   string
		play   func(j *Journal)
		broken int
	}{
		{"in order", func(j *Journal) {
			j.Heard(Targets, 1, 1)
			j.Heard(Config, 4, 2)
			j.Heard(Targets, 1, 3)
			j.Heard(Targets, 5, 4)
			j.Told(entry("t", 1, "DRAINING"))
			j.Told(entry("t", 2, serving))
			j.Told(entry("u", 0, serving)) // as at the beginning
			j.Sends("t")
			j.Sends("u")
			j.Sends("never told of")
		}, 0},
		{"an older version in force", func(j *Journal) { j.Heard(Targets, 5, 1); j.Heard(Targets, 4, 2) }, 1},
		{"an older state of a target", func(j *Journal) { j.Told(entry("t", 2, "DRAINING")); j.Told(entry("t", 1, serving)) }, 1},
		{"sent past a drain", func(j *Journal) { j.Told(entry("t", 1, "DRAINING")); j.Sends("t") }, 1},
		{"sent to one that is gone", func(j *Journal) { j.Told(entry("t", 1, "DELETED")); j.Sends("t") }, 1},
		{"an older state after a refusal of it", func(j *Journal) {
			j.Told(entry("t", 2, "DRAINING"))
			j.Told(entry("t", 1, serving)) // counted, and not taken over:
			j.Sends("t")
		}, 2},
		{"says less than before", func(j *Journal) { j.Seen(life, 5, 5); j.Seen(life, 5, 4) }, 1},
		{"forgets all", func(j *Journal) { j.Seen(life, 5, 5); j.Seen(life, 0, 5) }, 1},
		{"a new life that has not read its disk yet", func(j *Journal) { j.Seen(life, 5, 5); j.Lives(true); j.Seen(next, 0, 0); j.Seen(next, 5, 5) }, 0},
		{"a new life with an older copy", func(j *Journal) { j.Seen(life, 5, 5); j.Lives(true); j.Seen(next, 4, 5) }, 1},
		{"a new life with an older list", func(j *Journal) { j.Heard(Targets, 5, 1); j.Lives(true); j.Heard(Targets, 4, 2) }, 1},
		{"a new life without a disk", func(j *Journal) {
			j.Heard(Targets, 5, 1)
			j.Seen(life, 5, 5)
			j.Told(entry("t", 3, "DRAINING"))
			j.Lives(false)
			j.Heard(Targets, 1, 2)
			j.Seen(next, 1, 0)
			j.Told(entry("t", 1, serving))
		}, 0},
		{"something else", func(j *Journal) { j.Breaks("of another kind") }, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			j := NewJournal("h1")
			c.play(j)
			n, what := j.Broken()
			assert.Equal(t, c.broken, n, what)
			assert.Len(t, what, c.broken)
		})
	}
}

// TestWhen tells when a version came into force, also one that was jumped over.
func TestWhen(t *testing.T) {
	j := NewJournal("h1")
	j.Heard(Targets, 3, 30*time.Millisecond)
	j.Heard(Targets, 7, 70*time.Millisecond)
	for v, at := range map[uint64]time.Duration{1: 30, 3: 30, 4: 70, 7: 70} {
		got, done := j.When(Targets, v)
		require.True(t, done)
		require.Equal(t, at*time.Millisecond, got)
	}
	_, done := j.When(Targets, 8)
	require.False(t, done)
	_, done = j.When(Config, 1)
	require.False(t, done)
	require.Equal(t, uint64(7), j.At(Targets))
}

// TestBounded keeps few texts of many broken promises, and counts all.
func TestBounded(t *testing.T) {
	j := NewJournal("h1")
	for range 100 {
		j.Breaks("again")
	}
	n, what := j.Broken()
	require.Equal(t, 100, n)
	require.Len(t, what, mostBroken)
}
