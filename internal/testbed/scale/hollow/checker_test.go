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

// TestChecker checks which histories the checker reports as violations and which it accepts.
func TestChecker(t *testing.T) {
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
			j.RecordTargets(entry("t", 2, stateServing))
			j.RecordTargets(entry("u", 0, stateServing)) // state at the beginning
			j.RecordSend("t")
			j.RecordSend("u")
			j.RecordSend("never told of")
		}, 0},
		{"an older version applied", func(j *Checker) { j.RecordApplied(Targets, 5, 1); j.RecordApplied(Targets, 4, 2) }, 1},
		{"an older state of a target", func(j *Checker) {
			j.RecordTargets(entry("t", 2, "DRAINING"))
			j.RecordTargets(entry("t", 1, stateServing))
		}, 1},
		{"sent after a drain", func(j *Checker) { j.RecordTargets(entry("t", 1, "DRAINING")); j.RecordSend("t") }, 1},
		{"sent to a deleted target", func(j *Checker) { j.RecordTargets(entry("t", 1, "DELETED")); j.RecordSend("t") }, 1},
		{"an older state after its rejection", func(j *Checker) {
			j.RecordTargets(entry("t", 2, "DRAINING"))
			j.RecordTargets(entry("t", 1, stateServing)) // counted, but not applied
			j.RecordSend("t")
		}, 2},
		{"reports less than before", func(j *Checker) { j.RecordReported(life, 5, 5); j.RecordReported(life, 5, 4) }, 1},
		{"reports nothing after a version", func(j *Checker) { j.RecordReported(life, 5, 5); j.RecordReported(life, 0, 5) }, 1},
		{"a new run that has not read its disk yet", func(j *Checker) {
			j.RecordReported(life, 5, 5)
			j.RecordRestart(true)
			j.RecordReported(next, 0, 0)
			j.RecordReported(next, 5, 5)
		}, 0},
		{"a new run with an older copy", func(j *Checker) { j.RecordReported(life, 5, 5); j.RecordRestart(true); j.RecordReported(next, 4, 5) }, 1},
		{"a new run with an older list", func(j *Checker) {
			j.RecordApplied(Targets, 5, 1)
			j.RecordRestart(true)
			j.RecordApplied(Targets, 4, 2)
		}, 1},
		{"a new run without its disk", func(j *Checker) {
			j.RecordApplied(Targets, 5, 1)
			j.RecordReported(life, 5, 5)
			j.RecordTargets(entry("t", 3, "DRAINING"))
			j.RecordRestart(false)
			j.RecordApplied(Targets, 1, 2)
			j.RecordReported(next, 1, 0)
			j.RecordTargets(entry("t", 1, stateServing))
		}, 0},
		{"a violation found by the caller", func(j *Checker) { j.RecordViolation("of another kind") }, 1},
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

// TestAppliedAt checks when a version was applied, also one that was skipped.
func TestAppliedAt(t *testing.T) {
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

// TestViolationTextsBounded checks that few texts are kept of many violations, and all are counted.
func TestViolationTextsBounded(t *testing.T) {
	j := NewChecker("h1")
	for range 100 {
		j.RecordViolation("again")
	}
	n, what := j.Violations()
	require.Equal(t, 100, n)
	require.Len(t, what, maxViolationTexts)
}
