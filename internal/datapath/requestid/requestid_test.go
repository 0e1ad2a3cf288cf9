package requestid

import (
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const ttl = 10 * time.Second

// memoryJournal is a journal in memory. Next has its own position for each reader.
type memoryJournal struct {
	mu      sync.Mutex
	records []Record
	err     error
}

func (j *memoryJournal) Append(records ...Record) error {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.records = append(j.records, records...)
	return j.err
}

type memoryReader struct {
	journal *memoryJournal
	next    int
}

func (r *memoryReader) Next() ([]Record, error) {
	r.journal.mu.Lock()
	defer r.journal.mu.Unlock()
	records := r.journal.records[r.next:]
	r.next = len(r.journal.records)
	return records, r.journal.err
}

// process is a registry with its journal.
type process struct {
	*Registry
	journal *memoryJournal
}

func newProcess() *process { return &process{New(ttl), &memoryJournal{}} }

// join has two processes share and follow each other; it returns the first one's source for the second.
func join(t *testing.T, a, b *process, now time.Time) Source {
	t.Helper()
	require.NoError(t, a.Share(a.journal))
	require.NoError(t, b.Share(b.journal))
	a.Follow(&memoryReader{journal: b.journal}, now)
	s := &memoryReader{journal: a.journal}
	b.Follow(s, now)
	return s
}

// TestOtherProcessHasID guards against a request that is sent to its target twice during an upgrade: an ID that is open or may have run at
// one process can't be claimed at the other, in both directions, whether it was claimed before they met or after.
func TestOtherProcessHasID(t *testing.T) {
	now := time.Now()
	older, younger := newProcess(), newProcess()
	for _, id := range []string{"open", "ran", "rejected", "ran long ago"} {
		require.True(t, older.Claim(id, now))
	}
	older.Release("ran long ago", true, now)
	now = now.Add(2*ttl + time.Second)
	older.Release("ran", true, now)
	older.Release("rejected", false, now)
	join(t, older, younger, now)
	require.False(t, younger.Claim("open", now))
	require.False(t, younger.Claim("ran", now))
	require.True(t, younger.Claim("rejected", now), "it has never run")
	require.False(t, older.Claim("rejected", now), "it is open at the younger one")
	younger.Release("rejected", true, now)
	require.False(t, older.Claim("rejected", now), "it may have run")
	require.True(t, older.Claim("later", now))
	require.False(t, younger.Claim("later", now))
	older.Release("later", false, now)
	require.True(t, younger.Claim("later", now))
	now = now.Add(2*ttl + time.Second)
	older.Release("open", false, now)
	younger.Release("later", false, now)
	require.True(t, younger.Claim("ran", now), "its time is over")
}

// TestEndedProcessHasID guards against a request that runs again once the process that had it has ended: what was open or may have run there
// stays in use for the TTL, also at a process that starts after that, whether the one between them was alone meanwhile or not.
func TestEndedProcessHasID(t *testing.T) {
	for _, alone := range []bool{true, false} {
		t.Run(fmt.Sprint("alone: ", alone), func(t *testing.T) { checkEndedProcessHasID(t, alone) })
	}
}

func checkEndedProcessHasID(t *testing.T, alone bool) {
	now := time.Now()
	first, second, third := newProcess(), newProcess(), newProcess()
	source := join(t, first, second, now)
	require.True(t, first.Claim("open", now))
	require.True(t, first.Claim("ran", now))
	first.Release("ran", true, now)
	require.True(t, first.Claim("rejected", now))
	first.Release("rejected", false, now)
	second.Unfollow(source, now) // it has not read the last records before
	second.Unfollow(source, now)
	if alone {
		second.StopSharing()
		second.journal = &memoryJournal{}
	}
	for _, p := range []*process{second, third} {
		switch {
		case p == second:
		case alone:
			join(t, second, third, now)
		default: // the second goes on with its journal
			require.NoError(t, third.Share(third.journal))
			second.Follow(&memoryReader{journal: third.journal}, now)
			third.Follow(&memoryReader{journal: second.journal}, now)
		}
		require.False(t, p.Claim("open", now))
		require.False(t, p.Claim("ran", now))
		require.True(t, p.Claim("rejected", now))
		p.Release("rejected", false, now)
	}
	now = now.Add(ttl - time.Second)
	require.False(t, second.Claim("open", now))
	now = now.Add(2 * ttl)
	require.True(t, second.Claim("other", now))
	now = now.Add(ttl + time.Second)
	require.True(t, second.Claim("open", now))
}

// TestClaimsAtTheSameMoment claims each ID at two processes at once: at most one of them gets it.
func TestClaimsAtTheSameMoment(t *testing.T) {
	now := time.Now()
	a, b := newProcess(), newProcess()
	join(t, a, b, now)
	both, none := 0, 0
	for i := range 5000 {
		id := fmt.Sprint(i)
		var claimed atomic.Int32
		var done sync.WaitGroup
		for _, p := range []*process{a, b} {
			done.Go(func() {
				if p.Claim(id, now) {
					claimed.Add(1)
				}
			})
		}
		done.Wait()
		switch claimed.Load() {
		case 2:
			both++
		case 0:
			none++
		}
	}
	require.Zero(t, both)
	require.Less(t, none, 5000, "no claim succeeds")
}

// TestUnreadablePeer checks that requests are accepted, and the failure is told, where another process's records can't be read or this one's
// not be written.
func TestUnreadablePeer(t *testing.T) {
	now := time.Now()
	a, b := newProcess(), newProcess()
	join(t, a, b, now)
	failures := 0
	a.OnFailure(func(error) { failures++ })
	a.journal.err, b.journal.err = errors.New("disk"), errors.New("disk")
	require.True(t, a.Claim("x", now))
	require.Equal(t, 2, failures)
	require.False(t, a.Claim("x", now))
	require.Error(t, a.Share(a.journal))
}

// TestPeersAreBounded has another process tell many IDs that may have run: no more than two generations are kept, here and after its end.
func TestPeersAreBounded(t *testing.T) {
	now := time.Now()
	a, b := newProcess(), newProcess()
	source := join(t, a, b, now)
	for i := range 5 * MaxExecuted / 2 {
		id := fmt.Sprint(i)
		require.True(t, a.Claim(id, now))
		a.Release(id, true, now)
	}
	require.True(t, b.Claim("other", now))
	require.LessOrEqual(t, b.peers[source].size(), 2*MaxExecuted)
	b.Unfollow(source, now)
	require.LessOrEqual(t, b.departed.size(), 2*MaxExecuted)
	require.GreaterOrEqual(t, b.departed.size(), MaxExecuted)
	open, mayHaveRun := a.Count()
	require.Zero(t, open)
	require.LessOrEqual(t, mayHaveRun, 2*MaxExecuted)
}
