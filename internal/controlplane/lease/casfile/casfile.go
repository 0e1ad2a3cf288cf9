// Package casfile is a guarded folder: a state that many processes, on machines that share a file system, change by compare and swap, without
// locks that a paused process could keep. docs/leases.md, Places.
//
// The state is a chain of records, numbered from 1. A change is the next record, made whole under another name and then given its
// number by link(2), which fails where another has it. The highest number is the state.
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

const (
	recordFormat = 1
	recordSuffix = ".record"
	tempPrefix   = "writing-"
	keptRecords  = 64 // records; those before are taken away
	maxAttempts  = 1000
)

// Errors of folders that are not used.
var (
	ErrDamaged = errors.New("damaged")
	ErrBusy    = errors.New("changed by others each time")
)

// record is a file.
type record struct {
	Format int             `json:"format"`
	Number uint64          `json:"n"`
	Sum    uint32          `json:"crc32c"`
	State  json.RawMessage `json:"state"`
}

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

func recordPath(dir string, n uint64) string {
	return filepath.Join(dir, fmt.Sprintf("%020d%s", n, recordSuffix))
}

// recordNumbers has the records' numbers, in order.
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

// Read returns the state and its number; 0: there is none yet. What is wrong with it is ErrDamaged: it is never passed over.
func Read[S any](dir string) (state S, n uint64, err error) {
	for {
		all, err := recordNumbers(dir)
		if err != nil || len(all) == 0 {
			return state, 0, err
		}
		n = all[len(all)-1]
		b, err := os.ReadFile(recordPath(dir, n))
		if errors.Is(err, fs.ErrNotExist) {
			continue // there is a newer one, and this has been taken away
		}
		if err != nil {
			return state, 0, err
		}
		var r record
		if err := json.Unmarshal(b, &r); err != nil {
			return state, 0, fmt.Errorf("%s: %w: %w", recordPath(dir, n), ErrDamaged, err)
		}
		switch {
		case r.Format != recordFormat:
			return state, 0, fmt.Errorf("%s: format %d, this program reads %d", recordPath(dir, n), r.Format, recordFormat)
		case r.Number != n || crc32.Checksum(r.State, castagnoli) != r.Sum:
			return state, 0, fmt.Errorf("%s: %w", recordPath(dir, n), ErrDamaged)
		}
		if err := json.Unmarshal(r.State, &state); err != nil {
			return state, 0, fmt.Errorf("%s: %w: %w", recordPath(dir, n), ErrDamaged, err)
		}
		return state, n, nil
	}
}

// Update changes the state in one atomic step. change is given the state as it is, perhaps several times, also after it was made: it has to
// know itself by what it left, as a guarded act does (guard.Place). An error of its own changes
// nothing and is returned, with the state. After another error the change may have been made: whoever asks again sees.
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
	return state, fmt.Errorf("%s: %w", dir, ErrBusy)
}

// appendRecord makes the record of that number, the one after a state that was read.
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
	if errors.Is(err, fs.ErrExist) || errors.Is(err, fs.ErrNotExist) { // another was first, or tidied up what stood still for long
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
	// A number is only taken away once there are so many above it. Where there are, it may have been another's before, and this record
	// is below the state: the change is tried again on the state as it is, which knows it if it was made.
	return n+keptRecords > highest, syncDir(dir)
}

// removeStaleTemp takes away what a process that died, or stood still for minutes, left half written.
func removeStaleTemp(dir string) {
	left, _ := filepath.Glob(filepath.Join(dir, tempPrefix+"*"))
	for _, path := range left {
		if i, err := os.Stat(path); err == nil && time.Since(i.ModTime()) > 5*time.Minute {
			os.Remove(path)
		}
	}
}

func syncDir(dir string) error {
	d, err := os.Open(dir)
	if err != nil {
		return err
	}
	return errors.Join(d.Sync(), d.Close())
}
