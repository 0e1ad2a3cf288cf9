// Package casfile keeps a small state in a folder that many processes, on machines that share a file
// system, change by compare and swap. It takes no locks, since a paused process could hold one forever.
//
// The state is a sequence of numbered records. A change writes the next record under a temporary name
// and links it to its numbered name by link(2), which fails if another process was first. The record
// with the highest number is the current state.
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

// Format and names of record files.
const (
	recordFormat = 1
	recordSuffix = ".record"
	tempPrefix   = "writing-"
	keptRecords  = 64   // newest records that are kept; older ones are removed
	maxAttempts  = 1000 // attempts at one change that concurrent changes preempt
)

// Errors of Read and Update.
var (
	ErrCorrupt    = errors.New("damaged")
	ErrContention = errors.New("changed by others each time")
)

// record is the content of one record file.
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
func recordNumbers(dir string) (numbers []uint64, err error) {
	entries, err := os.ReadDir(dir)
	if errors.Is(err, fs.ErrNotExist) {
		return nil, nil
	}
	for _, e := range entries {
		if digits, isRecord := strings.CutSuffix(e.Name(), recordSuffix); isRecord {
			if n, err := strconv.ParseUint(digits, 10, 64); err == nil {
				numbers = append(numbers, n)
			}
		}
	}
	slices.Sort(numbers)
	return numbers, err
}

// Read returns the state and its number; 0: there is none yet. If the newest record is corrupt, it
// returns ErrCorrupt and does not fall back to an older record.
func Read[S any](dir string) (state S, n uint64, err error) {
	for {
		numbers, err := recordNumbers(dir)
		if err != nil || len(numbers) == 0 {
			return state, 0, err
		}
		n = numbers[len(numbers)-1]
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

// Update changes the state in one atomic step. It calls change with the current state, possibly
// several times, and possibly again after the change was made; change must detect that from the state,
// as a fenced operation does (fencing.Guard). An error of change is returned with the state, and
// nothing is changed. After any other error the change may have been made: the caller has to read the
// state.
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
		if appended, err := appendRecord(dir, n+1, &state); err != nil || appended {
			return state, err
		}
	}
	return state, fmt.Errorf("%s: %w", dir, ErrContention)
}

// appendRecord writes the record of number n, the next after a state that was read. It reports whether
// the record became the state.
func appendRecord(dir string, n uint64, state any) (appended bool, err error) {
	stateJSON, err := json.Marshal(state)
	if err != nil {
		return false, err
	}
	b, err := json.Marshal(record{recordFormat, n, crc32.Checksum(stateJSON, castagnoli), stateJSON})
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
	if errors.Is(err, fs.ErrExist) || errors.Is(err, fs.ErrNotExist) { // another process was first, or removed the temporary file while this one was paused
		return false, nil
	}
	if err != nil {
		return false, err
	}
	failpoint.Hit("place.linked")
	numbers, err := recordNumbers(dir)
	if err != nil {
		return false, err
	}
	highest := slices.Max(append(numbers, n))
	for _, x := range numbers {
		if x+keptRecords <= highest {
			os.Remove(recordPath(dir, x))
		}
	}
	removeStaleTemp(dir)
	// A number is reused only after keptRecords newer ones exist. If they do, this record may have taken a removed
	// number and is not the state: the change is retried on the current state, which shows whether it was made.
	return n+keptRecords > highest, syncDir(dir)
}

// removeStaleTemp removes temporary files that a process left behind when it died or was paused for
// more than 5 minutes.
func removeStaleTemp(dir string) {
	paths, _ := filepath.Glob(filepath.Join(dir, tempPrefix+"*"))
	for _, path := range paths {
		if info, err := os.Stat(path); err == nil && time.Since(info.ModTime()) > 5*time.Minute {
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
