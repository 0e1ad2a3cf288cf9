package casfile

import (
	"errors"
	"os"
	"path/filepath"
	"sync"
	"testing"

	"spindlehitch/internal/controlplane/lease/fencing"
)

type counterState struct {
	fencing.Guard
	Count int
}

// TestUpdateConcurrently changes one folder from several goroutines at once. No change may be lost or
// made twice.
func TestUpdateConcurrently(t *testing.T) {
	dir := filepath.Join(t.TempDir(), "folder")
	var writers sync.WaitGroup
	for range 6 {
		writers.Go(func() {
			for range 30 {
				if _, err := Update(dir, func(c *counterState) error { c.Count++; return nil }); err != nil {
					t.Error(err)
				}
			}
		})
	}
	writers.Wait()
	c, n, err := Read[counterState](dir)
	if err != nil || c.Count != 180 || n != 180 {
		t.Fatalf("%d changes, record number %d, %v; want 180", c.Count, n, err)
	}
	files, _ := os.ReadDir(dir)
	if len(files) > keptRecords+6 {
		t.Errorf("%d files in the folder, want at most %d records", len(files), keptRecords)
	}
}

// TestUpdatePreempted makes other changes between an update's read and its link: one, a few, and so many that the record of the
// update's number has been removed again. The update must be retried on the current state, where its older token is rejected.
func TestUpdatePreempted(t *testing.T) {
	for _, others := range []int{1, keptRecords - 1, keptRecords + 5} {
		dir := t.TempDir()
		begin := func(token uint64) error {
			_, err := Update(dir, func(c *counterState) error { c.Count++; return c.Begin(token, 1) })
			return err
		}
		if err := begin(1); err != nil {
			t.Fatal(err)
		}
		firstCall := true
		_, err := Update(dir, func(c *counterState) error {
			if firstCall {
				firstCall = false
				for i := range others {
					if err := begin(uint64(10 + i)); err != nil {
						t.Fatal(err)
					}
				}
			}
			return c.Begin(2, 1)
		})
		var rejected *fencing.RejectedError
		if !errors.As(err, &rejected) {
			t.Errorf("%d other changes: an operation under an older token was not rejected: %v", others, err)
		}
		c, _, err := Read[counterState](dir)
		if err != nil || c.Token != uint64(9+others) || c.Count != others+1 {
			t.Errorf("%d other changes: state %+v, %v", others, c, err)
		}
	}
}

// TestCorruptRecord corrupts the newest record in several ways. An update must return an error, and must neither fall back to an
// older record nor write a newer one.
func TestCorruptRecord(t *testing.T) {
	for name, corrupt := range map[string]func(string) string{
		"truncated":      func(s string) string { return s[:len(s)/2] },
		"empty":          func(string) string { return "" },
		"wrong checksum": func(s string) string { return s[:len(s)-3] + "9}}" },
		"unknown format": func(s string) string { return `{"format":2` + s[len(`{"format":1`):] },
	} {
		dir := t.TempDir()
		for range 3 {
			if _, err := Update(dir, func(c *counterState) error { c.Count++; return nil }); err != nil {
				t.Fatal(err)
			}
		}
		path := recordPath(dir, 3)
		b, _ := os.ReadFile(path)
		if err := os.WriteFile(path, []byte(corrupt(string(b))), 0o600); err != nil {
			t.Fatal(err)
		}
		_, err := Update(dir, func(c *counterState) error { c.Count++; return nil })
		if numbers, _ := recordNumbers(dir); err == nil || len(numbers) != 3 {
			t.Errorf("%s: %v, records %v", name, err, numbers)
		}
		if name != "unknown format" && !errors.Is(err, ErrCorrupt) {
			t.Errorf("%s: %v", name, err)
		}
	}
	if _, n, err := Read[counterState](filepath.Join(t.TempDir(), "missing")); n != 0 || err != nil {
		t.Errorf("missing folder: record %d, %v", n, err)
	}
}
