package casfile

import (
	"errors"
	"os"
	"path/filepath"
	"sync"
	"testing"

	"spindlehitch/internal/controlplane/lease/fencing"
)

type counted struct {
	fencing.Guard
	Count int
}

// TestTogether has many change one folder at once: no change is lost, none is made twice.
func TestTogether(t *testing.T) {
	dir := filepath.Join(t.TempDir(), "folder")
	var work sync.WaitGroup
	for range 6 {
		work.Go(func() {
			for range 30 {
				if _, err := Update(dir, func(c *counted) error { c.Count++; return nil }); err != nil {
					t.Error(err)
				}
			}
		})
	}
	work.Wait()
	c, n, err := Read[counted](dir)
	if err != nil || c.Count != 180 || n != 180 {
		t.Fatalf("%d changes in %d records, %v; want 180", c.Count, n, err)
	}
	left, _ := os.ReadDir(dir)
	if len(left) > keptRecords+6 {
		t.Errorf("%d files are left, of %d kept", len(left), keptRecords)
	}
}

// TestLate has a change come to its link after others have changed the folder: a few times, and so often that its number was taken
// away again. It is tried again on the state as it is, and refused there.
func TestLate(t *testing.T) {
	for _, others := range []int{1, keptRecords - 1, keptRecords + 5} {
		dir := t.TempDir()
		begin := func(token uint64) error {
			_, err := Update(dir, func(c *counted) error { c.Count++; return c.Begin(token, 1) })
			return err
		}
		if err := begin(1); err != nil {
			t.Fatal(err)
		}
		first := true
		_, err := Update(dir, func(c *counted) error {
			if first {
				first = false
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
			t.Errorf("%d others: an older token was not refused: %v", others, err)
		}
		c, _, err := Read[counted](dir)
		if err != nil || c.Token != uint64(9+others) || c.Count != others+1 {
			t.Errorf("%d others: the state is %+v, %v", others, c, err)
		}
	}
}

// TestDamaged has the highest record spoiled in several ways: it is named, and neither passed over nor written over.
func TestDamaged(t *testing.T) {
	for what, spoil := range map[string]func(string) string{
		"cut":            func(s string) string { return s[:len(s)/2] },
		"empty":          func(string) string { return "" },
		"another state":  func(s string) string { return s[:len(s)-3] + "9}}" },
		"another format": func(s string) string { return `{"format":2` + s[len(`{"format":1`):] },
	} {
		dir := t.TempDir()
		for range 3 {
			if _, err := Update(dir, func(c *counted) error { c.Count++; return nil }); err != nil {
				t.Fatal(err)
			}
		}
		path := recordPath(dir, 3)
		b, _ := os.ReadFile(path)
		if err := os.WriteFile(path, []byte(spoil(string(b))), 0o600); err != nil {
			t.Fatal(err)
		}
		_, err := Update(dir, func(c *counted) error { c.Count++; return nil })
		if all, _ := recordNumbers(dir); err == nil || len(all) != 3 {
			t.Errorf("%s: %v, records %v", what, err, all)
		}
		if what != "another format" && !errors.Is(err, ErrCorrupt) {
			t.Errorf("%s: %v", what, err)
		}
	}
	if _, n, err := Read[counted](filepath.Join(t.TempDir(), "not there")); n != 0 || err != nil {
		t.Errorf("no folder: %d, %v", n, err)
	}
}
