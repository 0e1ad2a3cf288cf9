package hollow

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"spindlehitch/internal/datapath/listing"
)

func entry(id string, turn int64, state string) []listing.Entry {
	return []listing.Entry{{ID: id, StartedMs: turn, State: state}}
}

// TestJournal holds the judge against what it has to find, and against what it has to let through.
func TestJournal(t *testing.T) {
	life, next := new(int), new(int)
	for _, c := range []struct {
		name   string
		play   func(j *Checker)
		broken int
	}{
		{"in order", func(j *Checker) {
			j.RecordApplied(Targets, 1, 1)
			j.RecordApplied(Config, 4, 2)
			j.RecordApplied(Targets, 1, 3)
			j.RecordApplied(Targets, 5, 4)
			j.RecordTargets(entry("t", 1, "DRAINING"))
			j.RecordTargets(entry("t", 2, serving))
			j.RecordTargets(entry("u", 0, serving)) // as at the beginning
			j.RecordSend("t")
			j.RecordSend("u")
			j.RecordSend("never told of")
		}, 0},
		{"an older version in force", func(j *Checker) { j.RecordApplied(Targets, 5, 1); j.RecordApplied(Targets, 4, 2) }, 1},
		{"an older state of a target", func(j *Checker) { j.RecordTargets(entry("t", 2, "DRAINING")); j.RecordTargets(entry("t", 1, serving)) }, 1},
		{"sent past a drain", func(j *Checker) { j.RecordTargets(entry("t", 1, "DRAINING")); j.RecordSend("t") }, 1},
		{"sent to one that is gone", func(j *Checker) { j.RecordTargets(entry("t", 1, "DELETED")); j.RecordSend("t") }, 1},
		{"an older state after a refusal of it", func(j *Checker) {
			j.RecordTargets(entry("t", 2, "DRAINING"))
			j.RecordTargets(entry("t", 1, serving)) // counted, and not taken over:
			j.RecordSend("t")
		}, 2},
		{"says less than before", func(j *Checker) { j.RecordReported(life, 5, 5); j.RecordReported(life, 5, 4) }, 1},
		{"forgets all", func(j *Checker) { j.RecordReported(life, 5, 5); j.RecordReported(life, 0, 5) }, 1},
		{"a new life that has not read its disk yet", func(j *Checker) {
			j.RecordReported(life, 5, 5)
			j.RecordRestart(true)
			j.RecordReported(next, 0, 0)
			j.RecordReported(next, 5, 5)
		}, 0},
		{"a new life with an older copy", func(j *Checker) { j.RecordReported(life, 5, 5); j.RecordRestart(true); j.RecordReported(next, 4, 5) }, 1},
		{"a new life with an older list", func(j *Checker) {
			j.RecordApplied(Targets, 5, 1)
			j.RecordRestart(true)
			j.RecordApplied(Targets, 4, 2)
		}, 1},
		{"a new life without a disk", func(j *Checker) {
			j.RecordApplied(Targets, 5, 1)
			j.RecordReported(life, 5, 5)
			j.RecordTargets(entry("t", 3, "DRAINING"))
			j.RecordRestart(false)
			j.RecordApplied(Targets, 1, 2)
			j.RecordReported(next, 1, 0)
			j.RecordTargets(entry("t", 1, serving))
		}, 0},
		{"something else", func(j *Checker) { j.RecordViolation("of another kind") }, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			j := NewChecker("h1")
			c.play(j)
			n, what := j.Violations()
			assert.Equal(t, c.broken, n, what)
			assert.Len(t, what, c.broken)
		})
	}
}

// TestWhen tells when a version came into force, also one that was jumped over.
func TestWhen(t *testing.T) {
	j := NewChecker("h1")
	j.RecordApplied(Targets, 3, 30*time.Millisecond)
	j.RecordApplied(Targets, 7, 70*time.Millisecond)
	for v, at := range map[uint64]time.Duration{1: 30, 3: 30, 4: 70, 7: 70} {
		got, done := j.AppliedAt(Targets, v)
		require.True(t, done)
		require.Equal(t, at*time.Millisecond, got)
	}
	_, done := j.AppliedAt(Targets, 8)
	require.False(t, done)
	_, done = j.AppliedAt(Config, 1)
	require.False(t, done)
	require.Equal(t, uint64(7), j.Version(Targets))
}

// TestBounded keeps few texts of many broken promises, and counts all.
func TestBounded(t *testing.T) {
	j := NewChecker("h1")
	for range 100 {
		j.RecordViolation("again")
	}
	n, what := j.Violations()
	require.Equal(t, 100, n)
	require.Len(t, what, maxViolationTexts)
}
