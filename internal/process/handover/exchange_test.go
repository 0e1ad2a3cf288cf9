package handover

import (
	"context"
	"fmt"
	"log/slog"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"spindlehitch/internal/datapath/requestid"
	"spindlehitch/internal/datapath/targetlist"
)

// sharingProcess is a member of a group with its request IDs.
type sharingProcess struct {
	*Group
	ids  *requestid.Registry
	stop context.CancelFunc
}

// startSharing has a process join the group and share its request IDs and targets (nil: none), as a start does, and follow the others from
// then on.
func startSharing(t *testing.T, dir string, pid int, targets func() *targetlist.List) *sharingProcess {
	t.Helper()
	g, err := join(dir, "n1", pid, slog.New(slog.DiscardHandler))
	require.NoError(t, err)
	p := &sharingProcess{Group: g, ids: requestid.New(time.Minute)}
	g.ShareTargets(targets)
	begun := time.Now()
	require.NoError(t, g.ShareRequestIDs(t.Context(), p.ids))
	require.Less(t, time.Since(begun), joinTimeout)
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan struct{})
	go func() {
		g.Watch(ctx, func(View) {})
		close(ended)
	}()
	p.stop = func() {
		cancel()
		<-ended
	}
	t.Cleanup(p.stop)
	return p
}

// TestRequestIDsOverUpgrades guards against a request ID that is sent to a target by two processes of an initiator: over two upgrades each
// process knows at once, when it starts, what the others have open and what may have run, also of those that have ended.
func TestRequestIDsOverUpgrades(t *testing.T) {
	dir := t.TempDir()
	now := time.Now()
	first := startSharing(t, dir, 101, nil)
	require.True(t, first.ids.Claim("open at the first", now))
	require.True(t, first.ids.Claim("ran at the first", now))
	first.ids.Release("ran at the first", true, now)

	second := startSharing(t, dir, 102, nil)
	require.False(t, second.ids.Claim("open at the first", now))
	require.False(t, second.ids.Claim("ran at the first", now))
	require.True(t, second.ids.Claim("open at the second", now))
	require.False(t, first.ids.Claim("open at the second", now))

	third := startSharing(t, dir, 103, nil)
	for _, id := range []string{"open at the first", "ran at the first", "open at the second"} {
		require.False(t, third.ids.Claim(id, now), id)
	}
	first.stop()
	first.Close()
	second.ids.Release("open at the second", true, now)
	second.stop()
	second.Close()
	require.Eventually(t, func() bool { v, err := third.Observe(); return err == nil && v.Processes == 1 }, time.Minute, time.Millisecond)

	fourth := startSharing(t, dir, 104, nil) // the third was alone, or has not noticed yet
	for _, id := range []string{"open at the first", "ran at the first", "open at the second"} {
		require.False(t, third.ids.Claim(id, now), id)
		require.False(t, fourth.ids.Claim(id, now), id)
	}
	fourth.stop()
	fourth.Close()
	third.stop()
	third.Close()
	files, err := filepath.Glob(filepath.Join(dir, "*"))
	require.NoError(t, err)
	require.Empty(t, files)
}

// TestUpgradeFromOlderVersion starts a process beside one of a version without journals: it does not wait for it.
func TestUpgradeFromOlderVersion(t *testing.T) {
	dir := t.TempDir()
	older, err := join(dir, "n1", 101, slog.New(slog.DiscardHandler))
	require.NoError(t, err)
	defer older.Close()
	p := startSharing(t, dir, 102, nil)
	require.True(t, p.ids.Claim("x", time.Now()))
}

// TestHungProcessIsNotAwaited starts a process beside one that does not read journals any more: it waits joinTimeout for it.
func TestHungProcessIsNotAwaited(t *testing.T) {
	dir := t.TempDir()
	hung := startSharing(t, dir, 101, nil)
	defer hung.Close()
	hung.stop()
	g, err := join(dir, "n1", 102, slog.New(slog.DiscardHandler))
	require.NoError(t, err)
	defer g.Close()
	begun := time.Now()
	require.NoError(t, g.ShareRequestIDs(t.Context(), requestid.New(time.Minute)))
	require.GreaterOrEqual(t, time.Since(begun), joinTimeout)
	require.Less(t, time.Since(begun), 5*joinTimeout)
}

// TestJournal reads a journal behind its writer, over the end of its ring, and after records were overwritten.
func TestJournal(t *testing.T) {
	path := filepath.Join(t.TempDir(), "j")
	w, err := createJournal(path)
	require.NoError(t, err)
	r, err := openJournal(path)
	require.NoError(t, err)
	next := requestid.Record(0)
	write := func(n int) {
		records := make([]requestid.Record, n)
		for i := range records {
			next++
			records[i] = next
		}
		require.NoError(t, w.Append(records...))
	}
	read := func(n int) {
		t.Helper()
		records, err := r.Next()
		require.NoError(t, err)
		require.Len(t, records, n)
		for i, x := range records {
			require.Equal(t, next-requestid.Record(n-1-i), x)
		}
	}
	read(0)
	for _, n := range []int{1, 2, readRecordsAtATime + 1, maxJournalRecords - 5, 3 * readRecordsAtATime, maxJournalRecords} {
		write(n)
		read(n)
	}
	write(maxJournalRecords + 1)
	_, err = r.Next()
	require.ErrorIs(t, err, errJournalLost)
	write(7)
	read(7)
	late, err := openJournal(path)
	require.NoError(t, err)
	records, err := late.Next()
	require.NoError(t, err)
	require.Len(t, records, maxJournalRecords)
	size, err := os.Stat(path)
	require.NoError(t, err)
	require.EqualValues(t, ringOffset+maxJournalRecords*wordBytes, size.Size())

	require.NoError(t, w.writeReaders([]int64{7, 9}))
	for at, want := range map[int64]bool{7: true, 9: true, 8: false} {
		reads, err := r.readBy(at)
		require.NoError(t, err)
		require.Equal(t, want, reads, fmt.Sprint(at))
	}
	for _, text := range []string{"", "short", string(make([]byte, ringOffset))} {
		require.NoError(t, os.WriteFile(path+"x", []byte(text), 0o600))
		_, err = openJournal(path + "x")
		require.Error(t, err)
	}
}
