package disk

import (
	"errors"
	"os"
	"path/filepath"
	"testing"
	"time"

	"pgregory.net/rapid"

	"spindlehitch/internal/observability/accounts"
	"spindlehitch/internal/policy"
	"spindlehitch/internal/testbed/seeded"
)

func TestMain(m *testing.M) { seeded.Main(m) }

var day = time.Date(2026, 12, 1, 12, 0, 0, 0, time.UTC)

// sample returns a snapshot of one minute with one request.
func sample(instance string, minute int) accounts.Snapshot {
	b := accounts.New(accounts.Options{MaxVolumes: 4, MaxPairs: 4, MaxOpen: 4})
	b.Arrive(0, policy.Request{ID: "a", Volume: "v1"})
	b.Release(10*time.Millisecond, "a", "n1", 3*time.Millisecond, true)
	b.AttemptStarted(11*time.Millisecond, "a")
	b.AttemptEnded(40*time.Millisecond, "a", true)
	b.End(41*time.Millisecond, "a")
	return b.SnapshotAndReset(instance, day.Add(time.Duration(minute)*time.Minute), day.Add(time.Duration(minute+1)*time.Minute))
}

// TestDamagedFilesAreRejected reads files that are truncated, extended, have a changed byte or consist of random bytes: only the
// original file is accepted.
func TestDamagedFilesAreRejected(t *testing.T) {
	dir := t.TempDir()
	if err := Write(dir, sample("n1", 0), 10); err != nil {
		t.Fatal(err)
	}
	names, err := listFiles(dir)
	if err != nil || len(names) != 1 {
		t.Fatalf("%v, %v", names, err)
	}
	whole, err := os.ReadFile(names[0])
	if err != nil {
		t.Fatal(err)
	}
	s, err := Read(names[0])
	if err != nil || len(s.Volumes) != 1 || s.Volumes[0].Requests != 1 || s.Volumes[0].Times[accounts.BucketWait] != 3*time.Millisecond {
		t.Fatalf("%+v, %v", s, err)
	}
	path := filepath.Join(dir, "x.accounts")
	rapid.Check(t, func(t *rapid.T) {
		b := append([]byte(nil), whole...)
		switch rapid.IntRange(0, 3).Draw(t, "harm") {
		case 0:
			b = b[:rapid.IntRange(0, len(b)-1).Draw(t, "cut")]
		case 1:
			b[rapid.IntRange(0, len(b)-1).Draw(t, "byte")] ^= byte(rapid.IntRange(1, 255).Draw(t, "bits"))
		case 2:
			b = append(b, rapid.SliceOfN(rapid.Byte(), 1, 20).Draw(t, "more")...)
		case 3:
			b = rapid.SliceOf(rapid.Byte()).Draw(t, "noise")
		}
		if err := os.WriteFile(path, b, 0o600); err != nil {
			t.Fatal(err)
		}
		_, err := Read(path)
		if !errors.Is(err, ErrNotAccounts) && !errors.Is(err, ErrTruncated) && !errors.Is(err, ErrCorrupt) && !errors.Is(err, ErrVersion) {
			t.Fatalf("%d bytes of %d: %v", len(b), len(whole), err)
		}
	})
	whole[len(magic)] = version + 1
	if err := os.WriteFile(path, whole, 0o600); err != nil {
		t.Fatal(err)
	}
	if _, err := Read(path); !errors.Is(err, ErrVersion) {
		t.Errorf("another version: %v", err)
	}
	all, skipped, err := ReadAll(dir, time.Time{}, time.Time{})
	if err != nil || len(all) != 1 || len(skipped) != 1 {
		t.Errorf("%d read, %v skipped, %v", len(all), skipped, err)
	}
}

// TestInterruptedWriteIsRemoved creates the temporary file that a process killed while writing leaves: readers ignore it, and a
// later Write removes it.
func TestInterruptedWriteIsRemoved(t *testing.T) {
	dir := t.TempDir()
	left := filepath.Join(dir, "writing-123")
	if err := os.WriteFile(left, []byte("half"), 0o600); err != nil {
		t.Fatal(err)
	}
	old := time.Now().Add(-time.Hour)
	if err := os.Chtimes(left, old, old); err != nil {
		t.Fatal(err)
	}
	for minute := range 5 {
		if err := Write(dir, sample("n1", minute), 3); err != nil {
			t.Fatal(err)
		}
	}
	all, skipped, err := ReadAll(dir, time.Time{}, time.Time{})
	if err != nil || len(skipped) > 0 || len(all) != 3 || !all[0].From.Equal(day.Add(2*time.Minute)) {
		t.Errorf("%d read, %v skipped, %v", len(all), skipped, err)
	}
	if _, err := os.Stat(left); !os.IsNotExist(err) {
		t.Errorf("temporary file of an interrupted write: %v", err)
	}
	all, _, err = ReadAll(dir, day.Add(3*time.Minute), day.Add(4*time.Minute))
	if err != nil || len(all) != 1 {
		t.Errorf("%d files in one minute's window, %v", len(all), err)
	}
}
