// Package disk stores snapshots of the accounts in versioned, checksummed files, which appear only once they are complete.
package disk

import (
	"bytes"
	"compress/gzip"
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"hash/crc32"
	"io"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"spindlehitch/internal/observability/accounts"
)

// A file consists of the magic, a version byte, the length and the CRC-32C of the body, and the body: JSON compressed by gzip.
const (
	magic        = "SPHACCT"
	version      = 1
	headerBytes  = len(magic) + 1 + 8 + 4
	maxFileBytes = 64 << 20 // bytes of one file, and of its uncompressed body
	suffix       = ".accounts"
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// Errors of files that cannot be used. The texts are quoted in the operators' pages.
var (
	ErrNotAccounts = errors.New("not a file of accounts")
	ErrVersion     = errors.New("of another version")
	ErrTruncated   = errors.New("cut short")
	ErrCorrupt     = errors.New("damaged")
)

// Write writes a snapshot to a new file of the folder, named by its instances and its end, and removes all but the latest keep
// files.
func Write(dir string, s accounts.Snapshot, keep int) (err error) {
	text, err := json.Marshal(s)
	if err != nil {
		return err
	}
	var body bytes.Buffer
	z := gzip.NewWriter(&body)
	if _, err := z.Write(text); err != nil {
		return err
	}
	if err := z.Close(); err != nil {
		return err
	}
	b := append([]byte(magic), version)
	b = binary.LittleEndian.AppendUint64(b, uint64(body.Len()))
	b = binary.LittleEndian.AppendUint32(b, crc32.Checksum(body.Bytes(), castagnoli))
	b = append(b, body.Bytes()...)
	if err := os.MkdirAll(dir, 0o750); err != nil {
		return err
	}
	// Written under a temporary name that readers ignore, and renamed only after a successful sync.
	f, err := os.CreateTemp(dir, "writing-*")
	if err != nil {
		return err
	}
	defer func() {
		if err != nil {
			os.Remove(f.Name())
		}
	}()
	_, err = f.Write(b)
	err = errors.Join(err, f.Sync(), f.Close())
	if err != nil {
		return err
	}
	name := fmt.Sprintf("%s-%020d%s", strings.Join(s.Instances, "+"), s.To.UnixNano(), suffix)
	if err = os.Rename(f.Name(), filepath.Join(dir, name)); err != nil {
		return err
	}
	if d, derr := os.Open(dir); derr == nil {
		_ = d.Sync()
		d.Close()
	}
	return prune(dir, keep)
}

// prune removes all but the latest keep files, at least one, and temporary files older than a minute, which a killed process
// has left.
func prune(dir string, keep int) error {
	names, err := listFiles(dir)
	if err != nil {
		return err
	}
	var errs []error
	for len(names) > max(keep, 1) {
		errs = append(errs, os.Remove(names[0]))
		names = names[1:]
	}
	unfinished, _ := filepath.Glob(filepath.Join(dir, "writing-*"))
	for _, name := range unfinished {
		if i, err := os.Stat(name); err == nil && time.Since(i.ModTime()) > time.Minute {
			errs = append(errs, os.Remove(name))
		}
	}
	return errors.Join(errs...)
}

// listFiles returns the folder's account files, the oldest first.
func listFiles(dir string) ([]string, error) {
	names, err := filepath.Glob(filepath.Join(dir, "*"+suffix))
	timestamp := func(name string) string { return name[max(0, len(name)-20-len(suffix)):] }
	slices.SortFunc(names, func(a, b string) int { return strings.Compare(timestamp(a), timestamp(b)) })
	return names, err
}

// Read reads one file. If its content cannot be used, the error wraps one of the errors above.
func Read(path string) (accounts.Snapshot, error) {
	var s accounts.Snapshot
	fail := func(err error) (accounts.Snapshot, error) {
		return accounts.Snapshot{}, fmt.Errorf("%s: %w", path, err)
	}
	f, err := os.Open(path)
	if err != nil {
		return s, err
	}
	defer f.Close()
	b, err := io.ReadAll(io.LimitReader(f, maxFileBytes))
	switch {
	case err != nil:
		return fail(err)
	case !strings.HasPrefix(string(b), magic[:min(len(magic), len(b))]) || len(b) == 0:
		return fail(ErrNotAccounts)
	case len(b) < headerBytes:
		return fail(ErrTruncated)
	case b[len(magic)] != version:
		return fail(fmt.Errorf("%w: %d, this program reads %d", ErrVersion, b[len(magic)], version))
	}
	length, sum := binary.LittleEndian.Uint64(b[len(magic)+1:]), binary.LittleEndian.Uint32(b[len(magic)+9:])
	body := b[headerBytes:]
	switch {
	case uint64(len(body)) < length:
		return fail(ErrTruncated)
	case uint64(len(body)) > length, crc32.Checksum(body, castagnoli) != sum:
		return fail(ErrCorrupt)
	}
	z, err := gzip.NewReader(bytes.NewReader(body))
	if err != nil {
		return fail(fmt.Errorf("%w: %w", ErrCorrupt, err))
	}
	if err := json.NewDecoder(io.LimitReader(z, maxFileBytes)).Decode(&s); err != nil {
		return fail(fmt.Errorf("%w: %w", ErrCorrupt, err))
	}
	if err := s.Validate(); err != nil {
		return fail(fmt.Errorf("%w: %w", ErrCorrupt, err))
	}
	return s, nil
}

// ReadAll reads a file, or the files of a folder, and returns the snapshots that overlap the window from..to, whose zero bounds
// are open. Files that cannot be used are skipped; skipped has their errors.
func ReadAll(path string, from, to time.Time) (all []accounts.Snapshot, skipped []error, err error) {
	names := []string{path}
	if i, err := os.Stat(path); err != nil {
		return nil, nil, err
	} else if i.IsDir() {
		if names, err = listFiles(path); err != nil {
			return nil, nil, err
		}
	}
	for _, name := range names {
		s, err := Read(name)
		switch {
		case err != nil:
			skipped = append(skipped, err)
		case (to.IsZero() || s.From.Before(to)) && (from.IsZero() || s.To.After(from)):
			all = append(all, s)
		}
	}
	return all, skipped, nil
}
