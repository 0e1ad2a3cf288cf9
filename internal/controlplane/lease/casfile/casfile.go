// Package casfile keeps a small state in a folder that many processes, on machines that share a file
// system, change by compare and swap, without locks that a paused process could hold for ever.
//
// The state is a chain of numbered records. A change writes the next record under a temporary name and
// gives it its number by link(2), which fails if another process was first. The record with the
// highest number is the state.
package casfile

import (
	"encoding/json"
	"errors"
	"fmt"
	"hash/crc32"
	"io/fs"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"time"

	"spindlehitch/internal/process/failpoint"
)

// Form of the records.
const (
	recordFormat = 1
	recordSuffix = ".record"
	tempPrefix   = "writing-"
	keptRecords  = 64   // older ones are removed
	maxAttempts  = 1000 // of a change against others
)

// Errors of folders that cannot be used.
var (
	ErrCorrupt    = errors.New("damaged")
	ErrContention = errors.New("changed by others each time")
)

// record is one file.
type record struct {
	Format int             `json:"format"`
	Number uint64          `json:"n"`
	Sum    uint32          `json:"crc32c"`
	State  json.RawMessage `json:"state"`
}

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// recordPath is the name of a record's file.
func recordPath(dir string, n uint64) string {
	return filepath.Join(dir, fmt.Sprintf("%020d%s", n, recordSuffix))
}

// recordNumbers returns the numbers of all records in order.
func recordNumbers(dir string) (all []uint64, err error) {
	entries, err := os.ReadDir(dir)
	if errors.Is(err, fs.ErrNotExist) {
		return nil, nil
	}
	for _, e := range entries {
		if text, is := strings.CutSuffix(e.Name(), recordSuffix); is {
			if n, err := strconv.ParseUint(text, 10, 64); err == nil {
				all = append(all, n)
			}
		}
	}
	slices.Sort(all)
	return all, err
}

// Read returns the state and its number; 0: there is none yet. A damaged state is ErrCorrupt and never
// skipped.
func Read[S any](dir string) (state S, n uint64, err error) {
	for {
		all, err := recordNumbers(dir)
		if err != nil || len(all) == 0 {
			return state, 0, err
		}
		n = all[len(all)-1]
		b, err := os.ReadFile(recordPath(dir, n))
		if errors.Is(err, fs.ErrNotExist) {
			continue // a newer record exists, and this one was removed
		}
		if err != nil {
			return state, 0, err
		}
		var r record
		if err := json.Unmarshal(b, &r); err != nil {
			return state, 0, fmt.Errorf("%s: %w: %w", recordPath(dir, n), ErrCorrupt, err)
		}
		switch {
		case r.Format != recordFormat:
			return state, 0, fmt.Errorf("%s: format %d, this program reads %d", recordPath(dir, n), r.Format, recordFormat)
		case r.Number != n || crc32.Checksum(r.State, castagnoli) != r.Sum:
			return state, 0, fmt.Errorf("%s: %w", recordPath(dir, n), ErrCorrupt)
		}
		if err := json.Unmarshal(r.State, &state); err != nil {
			return state, 0, fmt.Errorf("%s: %w: %w", recordPath(dir, n), ErrCorrupt, err)
		}
		return state, n, nil
	}
}

// Update changes the state in one atomic step. change gets the present state, possibly several times,
// and possibly again after its change was made: it has to recognize that from the state, as a fenced
// operation does (fencing.Guard). An error of change is returned with the state, and nothing is
// changed. After another error the change may have been made: the caller has to read the state.
func Update[S any](dir string, change func(*S) error) (state S, err error) {
	if err := os.MkdirAll(dir, 0o750); err != nil {
		return state, err
	}
	for range maxAttempts {
		state, n, err := Read[S](dir)
		if err != nil {
			return state, err
		}
		if err := change(&state); err != nil {
			return state, err
		}
		if won, err := appendRecord(dir, n+1, &state); err != nil || won {
			return state, err
		}
	}
	return state, fmt.Errorf("%s: %w", dir, ErrContention)
}

// appendRecord writes the record of that number, the next after a state that was read.
func appendRecord(dir string, n uint64, state any) (won bool, err error) {
	text, err := json.Marshal(state)
	if err != nil {
		return false, err
	}
	b, err := json.Marshal(record{recordFormat, n, crc32.Checksum(text, castagnoli), text})
	if err != nil {
		return false, err
	}
	f, err := os.CreateTemp(dir, tempPrefix+"*")
	if err != nil {
		return false, err
	}
	defer os.Remove(f.Name())
	_, err = f.Write(b)
	if err = errors.Join(err, f.Sync(), f.Close()); err != nil {
		return false, err
	}
	failpoint.Hit("place.link")
	err = os.Link(f.Name(), recordPath(dir, n))
	if errors.Is(err, fs.ErrExist) || errors.Is(err, fs.ErrNotExist) { // another process was first, or removed the temporary file of a long pause
		return false, nil
	}
	if err != nil {
		return false, err
	}
	failpoint.Hit("place.linked")
	all, err := recordNumbers(dir)
	if err != nil {
		return false, err
	}
	highest := slices.Max(append(all, n))
	for _, x := range all {
		if x+keptRecords <= highest {
			os.Remove(recordPath(dir, x))
		}
	}
	removeStaleTemp(dir)
	// A number is reused only after keptRecords newer ones exist. If they do, this record may have taken a removed
	// number and is not the state: the change is tried again on the present state, which shows whether it was made.
	return n+keptRecords > highest, syncDir(dir)
}

// removeStaleTemp removes temporary files that a process left behind when it died or was paused for
// minutes.
func removeStaleTemp(dir string) {
	left, _ := filepath.Glob(filepath.Join(dir, tempPrefix+"*"))
	for _, path := range left {
		if i, err := os.Stat(path); err == nil && time.Since(i.ModTime()) > 5*time.Minute {
			os.Remove(path)
		}
	}
}

// syncDir makes the folder's entries durable.
func syncDir(dir string) error {
	d, err := os.Open(dir)
	if err != nil {
		return err
	}
	return errors.Join(d.Sync(), d.Close())
}
